//! Stand-ins for the platform.

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

/// Table service, object store and statsd server together.
#[derive(Debug)]
pub struct Platform {
    /// The table service.
    pub table: TableStandin,
    /// The object store.
    pub objects: ObjectStandin,
    /// The statsd server.
    pub statsd: StatsdStandin,
}

/// Where the parts of a [`Platform`] listen.
#[derive(Debug, Clone, Serialize, Args)]
pub struct PlatformAddresses {
    /// Table service.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub table_address: SocketAddr,
    /// Commands to the table service.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub table_control_address: SocketAddr,
    /// Object store.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub object_address: SocketAddr,
    /// Commands to the object store.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub object_control_address: SocketAddr,
    /// Statsd server, over UDP.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub statsd_address: SocketAddr,
    /// The lines that the statsd server has received.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub statsd_control_address: SocketAddr,
}

impl PlatformAddresses {
    /// Any free ports of the loopback interface.
    #[must_use]
    pub fn loopback() -> Self {
        let any = control::any_port();
        Self {
            table_address: any,
            table_control_address: any,
            object_address: any,
            object_control_address: any,
            statsd_address: any,
            statsd_control_address: any,
        }
    }
}

impl Platform {
    /// Starts all parts on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// No socket could be opened.
    pub async fn spawn() -> io::Result<Self> {
        Self::spawn_on(&PlatformAddresses::loopback()).await
    }

    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// An address is in use.
    pub async fn spawn_on(at: &PlatformAddresses) -> io::Result<Self> {
        Ok(Self {
            table: TableStandin::spawn_on(at.table_address, at.table_control_address).await?,
            objects: ObjectStandin::spawn_on(at.object_address, at.object_control_address).await?,
            statsd: StatsdStandin::spawn_on(at.statsd_address, at.statsd_control_address).await?,
        })
    }

    /// Where the parts listen.
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
