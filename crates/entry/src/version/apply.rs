//! Applying an operator's change.

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_conf::ConfigUpdate;
use dfs_conf::Faults;
use dfs_conf::check_inventory;
use dfs_conf::check_rules;
use dfs_ids::ConfigVersion;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use dfs_log::ErrorText;
use dfs_store::ApplyError;
use dfs_store::Change;
use dfs_store::ConfigReadError;
use dfs_store::ConfigStore;
use dfs_wire::api::ApplyConfig;
use dfs_wire::api::ConfigError;

use super::Holder;

/// Checks a change whole, commits it and puts it in force here.
pub(crate) async fn apply(
    store: &ConfigStore,
    holder: &Holder,
    operator: String,
    request: ApplyConfig,
) -> Result<ConfigVersion, ConfigError> {
    let base = base_config(store, holder, request.base).await?;
    let (base_version, change_id) = (request.base, request.change.clone());
    // The checks of a large inventory would hold up the requests of this thread.
    let merged = tokio::task::spawn_blocking(move || {
        let config = merge(&request, base.clone())?;
        let diff = base.map(|base| ConfigDiff::between(&base, &config));
        Ok((config, diff))
    });
    let merged = merged.await;
    let merged = merged.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
    let (config, diff) = merged.inspect_err(|error| tell_invalid(&operator, error))?;
    let change = Change {
        change: change_id,
        base: base_version,
        config: config.clone(),
        diff,
    };
    let version = store
        .apply(&change)
        .await
        .map_err(|error| refusal(&change, &operator, error))?;
    dfs_log::emit(ConfigEvent::Accepted {
        version,
        change: change.change,
        operator,
    });
    holder.adopt(ConfigUpdate::Whole(Box::new(config)), ConfigSource::Apply);
    Ok(version)
}

async fn base_config(
    store: &ConfigStore,
    holder: &Holder,
    base: ConfigVersion,
) -> Result<Option<Config>, ConfigError> {
    if base == ConfigVersion::default() {
        return Ok(None);
    }
    if let Some(held) = holder.held().filter(|held| held.version == base) {
        return Ok(Some(Config::clone(&held)));
    }
    match store.read_version(base).await {
        Ok(config) => Ok(Some(config)),
        Err(ConfigReadError::NoVersion { .. }) => Err(no_base(store, base).await),
        Err(error) => Err(unavailable(&error)),
    }
}

/// The answer to a change of a version that does not exist.
async fn no_base(store: &ConfigStore, base: ConfigVersion) -> ConfigError {
    match store.read_head().await {
        Ok(Some(head)) => ConfigError::Conflict {
            winner: head.version,
            winner_change: head.change,
        },
        Ok(None) => {
            let fault = format!("base: version {base} does not exist: use 0 for the first change");
            ConfigError::Invalid {
                faults: vec![fault],
            }
        }
        Err(error) => unavailable(&error),
    }
}

fn unavailable(error: &impl ToString) -> ConfigError {
    ConfigError::StoreUnavailable {
        message: error.to_string(),
    }
}

fn merge(request: &ApplyConfig, base: Option<Config>) -> Result<Config, ConfigError> {
    let (old_inventory, old_rules) = match base {
        Some(base) => (Some(base.inventory), Some(base.rules)),
        None => (None, None),
    };
    let inventory = request.inventory.as_ref().map(check_inventory).transpose();
    let rules = request.rules.as_ref().map(check_rules).transpose();
    let inventory = inventory.map_err(|faults| invalid(&faults))?;
    let rules = rules.map_err(|faults| invalid(&faults))?;
    let Some(inventory) = inventory.or(old_inventory) else {
        let fault = "inventory: the first change must bring one".to_owned();
        return Err(ConfigError::Invalid {
            faults: vec![fault],
        });
    };
    let config = Config {
        version: request.base.next(),
        inventory,
        rules: rules.or(old_rules).unwrap_or_default(),
    };
    config.check().map_err(|faults| invalid(&faults))?;
    Ok(config)
}

fn tell_invalid(operator: &str, error: &ConfigError) {
    if let ConfigError::Invalid { faults } = error {
        dfs_log::emit(ConfigEvent::Invalid {
            operator: operator.to_owned(),
            error: ErrorText::from(faults.join("; ").as_str()),
        });
    }
}

fn invalid(faults: &Faults) -> ConfigError {
    let faults = faults.faults.iter().map(ToString::to_string).collect();
    ConfigError::Invalid { faults }
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
        ApplyError::WrongVersion { .. }
        | ApplyError::NoBase { .. }
        | ApplyError::ChangeReused { .. } => ConfigError::Invalid {
            faults: vec![error.to_string()],
        },
        ApplyError::NotApplied { .. } | ApplyError::Unknown { .. } => unavailable(&error),
    }
}
