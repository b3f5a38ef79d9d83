//! Runs stand-ins as separate processes, for the demo and for manual tests.

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

/// Interval at which a stopping target checks whether tasks are still running.
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
    /// Address on which the target accepts tasks.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the control interface.
    #[arg(long, default_value = "127.0.0.1:0")]
    control_address: SocketAddr,
    /// Address of the target's agent.
    #[arg(long)]
    agent: SocketAddr,
    /// Name of the target in the inventory.
    #[arg(long)]
    target: TargetId,
    /// A service that the target offers; may be repeated.
    #[arg(long, required = true)]
    service: Vec<ServiceName>,
    /// Maximum number of concurrent tasks.
    #[arg(long, default_value = "8")]
    slots: Slots,
    /// Maximum number of connections from the agent.
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// Lease duration of the target's announcements, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    lease_ms: u64,
    /// Offered CPU, in thousandths of a core.
    #[arg(long, default_value_t = 16_000)]
    cpu_millis: u32,
    /// Offered memory, in mebibytes.
    #[arg(long, default_value_t = 65_536)]
    memory_mib: u64,
    /// Number of accelerators offered.
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
        Role::Platform(addresses) => run_platform(&addresses).await,
        Role::Target(arguments) => run_target(arguments).await,
    }
}

async fn run_platform(addresses: &PlatformAddresses) -> io::Result<()> {
    let platform = Platform::spawn_on(addresses).await?;
    println!("{}", json!(platform.addresses()));
    wait_for_termination_signal().await
}

async fn run_target(arguments: TargetArguments) -> io::Result<()> {
    let target = TargetStandin::spawn(arguments.into_options()).await?;
    let addresses = json!({
        "address": target.address(),
        "control_address": target.control_address(),
    });
    println!("{addresses}");
    wait_for_termination_signal().await?;
    if let Err(e) = target.goodbye().await {
        eprintln!("cannot announce the shutdown to the agent: {e}");
    }
    tokio::select! {
        () = wait_until_idle(&target) => Ok(()),
        second_signal = wait_for_termination_signal() => second_signal,
    }
}

async fn wait_until_idle(target: &TargetStandin) {
    while target.running() > 0 {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}

async fn wait_for_termination_signal() -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = sigterm.recv() => Ok(()),
        sigint = tokio::signal::ctrl_c() => sigint,
    }
}
