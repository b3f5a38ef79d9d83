//! Stand-ins for the platform services.

mod effect;
mod object;
mod rows;
mod statsd;
mod table;

use std::io;
use std::net::SocketAddr;

use clap::Args;
use serde::Serialize;

pub use object::ObjectStandin;
pub use statsd::StatsdStandin;
pub use table::TableStandin;

use crate::control;

/// Table service, object store and statsd server of one test platform.
#[derive(Debug)]
pub struct Platform {
    /// The table service.
    pub table: TableStandin,
    /// The object store.
    pub objects: ObjectStandin,
    /// The statsd server.
    pub statsd: StatsdStandin,
}

/// Listen addresses of the parts of a [`Platform`].
#[derive(Debug, Clone, Serialize, Args)]
pub struct PlatformAddresses {
    /// Table service.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub table_address: SocketAddr,
    /// Control interface of the table service.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub table_control_address: SocketAddr,
    /// Object store.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub object_address: SocketAddr,
    /// Control interface of the object store.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub object_control_address: SocketAddr,
    /// Statsd server, over UDP.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub statsd_address: SocketAddr,
    /// HTTP interface that returns the lines received by the statsd server.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub statsd_control_address: SocketAddr,
}

impl PlatformAddresses {
    /// Free ports on the loopback interface.
    #[must_use]
    pub fn loopback() -> Self {
        let any_port = control::loopback_any_port();
        Self {
            table_address: any_port,
            table_control_address: any_port,
            object_address: any_port,
            object_control_address: any_port,
            statsd_address: any_port,
            statsd_control_address: any_port,
        }
    }
}

impl Platform {
    /// Starts all parts on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// A socket could not be opened.
    pub async fn spawn() -> io::Result<Self> {
        Self::spawn_on(&PlatformAddresses::loopback()).await
    }

    /// Starts all parts on the given addresses.
    ///
    /// # Errors
    ///
    /// An address could not be bound, for example because it is in use.
    pub async fn spawn_on(addresses: &PlatformAddresses) -> io::Result<Self> {
        Ok(Self {
            table: TableStandin::spawn_on(addresses.table_address, addresses.table_control_address)
                .await?,
            objects: ObjectStandin::spawn_on(
                addresses.object_address,
                addresses.object_control_address,
            )
            .await?,
            statsd: StatsdStandin::spawn_on(
                addresses.statsd_address,
                addresses.statsd_control_address,
            )
            .await?,
        })
    }

    /// Returns the addresses on which the parts listen, with the assigned ports.
    #[must_use]
    pub const fn addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            table_address: self.table.address(),
            table_control_address: self.table.control_address(),
            object_address: self.objects.address(),
            object_control_address: self.objects.control_address(),
            statsd_address: self.statsd.address(),
            statsd_control_address: self.statsd.control_address(),
        }
    }
}
