//! Applying a configuration change of an operator.

use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_conf::ConfigUpdate;
use dfs_conf::ValidationErrors;
use dfs_conf::check_inventory;
use dfs_conf::check_rules;
use dfs_ids::ConfigVersion;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
use dfs_log::ErrorText;
use dfs_store::ApplyError;
use dfs_store::ConfigChange;
use dfs_store::ConfigReadError;
use dfs_store::ConfigStore;
use dfs_wire::api::ApplyConfig;
use dfs_wire::api::ConfigError;

use super::ActiveConfig;

/// Validates a change as a whole, commits it to the store and activates it in this process. Other
/// entries read it from the store.
pub(crate) async fn apply(
    store: &ConfigStore,
    active_config: &ActiveConfig,
    operator: String,
    request: ApplyConfig,
) -> Result<ConfigVersion, ConfigError> {
    let base = load_base(store, active_config, request.base).await?;
    let (base_version, change_id) = (request.base, request.change.clone());
    // Validating a large inventory would block the other requests of this runtime thread.
    let merged = tokio::task::spawn_blocking(move || {
        let config = merge(&request, base.clone())?;
        let diff = base.map(|base| ConfigDiff::between(&base, &config));
        Ok((config, diff))
    });
    let merged = merged.await;
    let merged = merged.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
    let (config, diff) = merged.inspect_err(|error| log_invalid(&operator, error))?;
    let change = ConfigChange {
        id: change_id,
        base: base_version,
        config: config.clone(),
        diff,
    };
    let version = store
        .apply(&change)
        .await
        .map_err(|error| apply_error(&change, &operator, error))?;
    dfs_log::emit(ConfigEvent::Accepted {
        version,
        change: change.id,
        operator,
    });
    active_config.adopt(ConfigUpdate::Full(Box::new(config)), ConfigSource::Apply);
    Ok(version)
}

async fn load_base(
    store: &ConfigStore,
    active_config: &ActiveConfig,
    base: ConfigVersion,
) -> Result<Option<Config>, ConfigError> {
    if base == ConfigVersion::default() {
        return Ok(None);
    }
    if let Some(held) = active_config.current().filter(|held| held.version == base) {
        return Ok(Some(Config::clone(&held)));
    }
    match store.read_version(base).await {
        Ok(config) => Ok(Some(config)),
        Err(ConfigReadError::VersionNotFound { .. }) => Err(missing_base_error(store, base).await),
        Err(error) => Err(unavailable_error(&error)),
    }
}

/// The error for a change whose base version does not exist.
async fn missing_base_error(store: &ConfigStore, base: ConfigVersion) -> ConfigError {
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
        Err(error) => unavailable_error(&error),
    }
}

fn unavailable_error(error: &impl ToString) -> ConfigError {
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
    let inventory = inventory.map_err(|faults| invalid_error(&faults))?;
    let rules = rules.map_err(|faults| invalid_error(&faults))?;
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
    config.check().map_err(|faults| invalid_error(&faults))?;
    Ok(config)
}

fn log_invalid(operator: &str, error: &ConfigError) {
    if let ConfigError::Invalid { faults } = error {
        dfs_log::emit(ConfigEvent::Invalid {
            operator: operator.to_owned(),
            error: ErrorText::from(faults.join("; ").as_str()),
        });
    }
}

fn invalid_error(faults: &ValidationErrors) -> ConfigError {
    let faults = faults.errors.iter().map(ToString::to_string).collect();
    ConfigError::Invalid { faults }
}

fn apply_error(change: &ConfigChange, operator: &str, error: ApplyError) -> ConfigError {
    match error {
        ApplyError::Conflict {
            base,
            winner,
            winner_change,
        } => {
            let change = change.id.clone();
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
        | ApplyError::BaseNotFound { .. }
        | ApplyError::ChangeReused { .. } => ConfigError::Invalid {
            faults: vec![error.to_string()],
        },
        ApplyError::NotApplied { .. } | ApplyError::Unknown { .. } => unavailable_error(&error),
    }
}
