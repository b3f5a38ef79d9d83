//! Applying an operator's change.

use dfs_conf::Config;
use dfs_conf::Inventory;
use dfs_conf::Rules;
use dfs_ids::ConfigVersion;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use dfs_store::ApplyError;
use dfs_store::Change;
use dfs_store::ConfigStore;
use dfs_wire::api::ApplyConfig;
use dfs_wire::api::ConfigError;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::Holder;

/// Checks a change whole, commits it and puts it in force here.
pub(crate) async fn apply(
    store: &ConfigStore,
    holder: &Holder,
    operator: String,
    request: ApplyConfig,
) -> Result<ConfigVersion, ConfigError> {
    let base = base_config(store, request.base).await?;
    let config = merge(&request, base)?;
    let change = Change {
        change: request.change.clone(),
        base: request.base,
        config: config.clone(),
    };
    let version = store
        .apply(&change)
        .await
        .map_err(|error| refusal(&change, &operator, error))?;
    dfs_log::emit(ConfigEvent::Accepted {
        version,
        change: request.change,
        operator,
    });
    holder.adopt(config, ConfigSource::Apply);
    Ok(version)
}

async fn base_config(
    store: &ConfigStore,
    base: ConfigVersion,
) -> Result<Option<Config>, ConfigError> {
    if base == ConfigVersion::default() {
        return Ok(None);
    }
    let read = store.read_version(base).await;
    read.map(Some)
        .map_err(|error| ConfigError::StoreUnavailable {
            message: error.to_string(),
        })
}

fn merge(request: &ApplyConfig, base: Option<Config>) -> Result<Config, ConfigError> {
    let version = request.base.next();
    let (old_inventory, old_rules) = match base {
        Some(base) => (Some(base.inventory), Some(base.rules)),
        None => (None, None),
    };
    let inventory: Option<Inventory> = parse(request.inventory.as_ref(), "inventory")?;
    let rules: Option<Rules> = parse(request.rules.as_ref(), "rules")?;
    let Some(inventory) = inventory.or(old_inventory) else {
        let fault = "inventory: the first change must bring one".to_owned();
        return Err(ConfigError::Invalid {
            faults: vec![fault],
        });
    };
    let rules = rules.or(old_rules).unwrap_or_default();
    Ok(Config {
        version,
        inventory,
        rules,
    })
}

fn parse<T: DeserializeOwned>(value: Option<&Value>, what: &str) -> Result<Option<T>, ConfigError> {
    let parsed = value.map(|value| T::deserialize(value)).transpose();
    parsed.map_err(|error| ConfigError::Invalid {
        faults: vec![format!("{what}: {error}")],
    })
}

fn refusal(change: &Change, operator: &str, error: ApplyError) -> ConfigError {
    match error {
        ApplyError::Conflict {
            base,
            winner,
            winner_change,
        } => {
            let change = change.change.clone();
            dfs_log::emit(ConfigEvent::Conflict {
                operator: operator.to_owned(),
                change,
                base,
                head: winner,
            });
            ConfigError::Conflict {
                winner,
                winner_change,
            }
        }
        ApplyError::WrongVersion { .. } | ApplyError::NoBase { .. } => ConfigError::Invalid {
            faults: vec![error.to_string()],
        },
        ApplyError::NotApplied { .. } | ApplyError::Unknown { .. } => {
            ConfigError::StoreUnavailable {
                message: error.to_string(),
            }
        }
    }
}
