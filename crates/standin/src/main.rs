//! Stand-ins as processes of their own, for the demo and for tests by hand.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use dfs_ids::Slots;
use dfs_ids::TargetId;
use dfs_standin::Platform;
use dfs_standin::PlatformAddresses;
use dfs_standin::TargetOptions;
use dfs_standin::TargetStandin;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Interval at which a stopping target looks for running tasks.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Stand-ins for the platform and for targets.
#[derive(Debug, Parser)]
#[command(name = "dragonflyshed-standin", version)]
struct Arguments {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// Table service, object store and statsd server.
    Platform(PlatformAddresses),
    /// One target.
    Target(TargetArguments),
}

#[derive(Debug, Args)]
struct TargetArguments {
    /// Address on which the target takes tasks.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address for commands.
    #[arg(long, default_value = "127.0.0.1:0")]
    control_address: SocketAddr,
    /// Address of its agent.
    #[arg(long)]
    agent: SocketAddr,
    /// Its name in the inventory.
    #[arg(long)]
    target: TargetId,
    /// A service that it offers; may be repeated.
    #[arg(long, required = true)]
    service: Vec<ServiceName>,
    /// Tasks that it runs at once.
    #[arg(long, default_value = "8")]
    slots: Slots,
    /// Connections that it accepts from its agent.
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// Lease of its announcements.
    #[arg(long, default_value_t = 3_000)]
    lease_ms: u64,
    /// Processor time, in thousandths of a core.
    #[arg(long, default_value_t = 16_000)]
    cpu_millis: u32,
    /// Memory in mebibytes.
    #[arg(long, default_value_t = 65_536)]
    memory_mib: u64,
    /// Accelerators.
    #[arg(long, default_value_t = 0)]
    accelerators: u32,
}

impl TargetArguments {
    fn into_options(self) -> TargetOptions {
        let offer = Offer {
            target: self.target,
            services: self.service,
            slots: self.slots,
            connections: self.connections,
            resources: Resources {
                cpu_millis: self.cpu_millis,
                memory_mib: self.memory_mib,
                accelerators: self.accelerators,
            },
            labels: Vec::new(),
        };
        TargetOptions {
            listen: self.listen,
            control: self.control_address,
            advertised: None,
            agent: Some(self.agent),
            lease_ms: Millis::new(self.lease_ms),
            offer,
        }
    }
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match Arguments::parse().role {
        Role::Platform(at) => run_platform(&at).await,
        Role::Target(arguments) => run_target(arguments).await,
    }
}

async fn run_platform(at: &PlatformAddresses) -> io::Result<()> {
    let platform = Platform::spawn_on(at).await?;
    println!("{}", json!(platform.addresses()));
    stopped().await
}

async fn run_target(arguments: TargetArguments) -> io::Result<()> {
    let target = TargetStandin::spawn(arguments.into_options()).await?;
    let addresses = json!({
        "address": target.address(),
        "control_address": target.control_address(),
    });
    println!("{addresses}");
    stopped().await?;
    if let Err(e) = target.goodbye().await {
        eprintln!("goodbye: {e}");
    }
    tokio::select! {
        () = drained(&target) => Ok(()),
        second = stopped() => second,
    }
}

async fn drained(target: &TargetStandin) {
    while target.running() > 0 {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stopped() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted,
    }
}
