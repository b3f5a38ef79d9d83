//! The files in `examples/` are valid, and agree with the sizes and tokens that its `README.md`
//! states.

use std::path::PathBuf;

use dfs_conf::AgentSettings;
use dfs_conf::Config;
use dfs_conf::EntrySettings;
use dfs_conf::Identity;
use dfs_conf::TokenIndex;
use dfs_conf::check_inventory;
use dfs_conf::check_rules;
use dfs_ids::ConfigVersion;
use googletest::prelude::*;

/// Directory of each example, and the number of cores of its targets.
const DEPLOYMENTS: [(&str, u32); 2] = [("member-desk", 16), ("returns-svc", 32)];

fn read_example_file(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    std::fs::read_to_string(root.join(path)).unwrap()
}

fn example_config(deployment: &str) -> Config {
    let json =
        |file| serde_json::from_str(&read_example_file(&format!("{deployment}/{file}"))).unwrap();
    Config {
        version: ConfigVersion::new(1),
        inventory: check_inventory(&json("inventory.json")).unwrap(),
        rules: check_rules(&json("rules.json")).unwrap(),
    }
}

#[googletest::test]
fn example_configurations_are_valid_and_have_the_documented_sizes() {
    for (deployment, cores) in DEPLOYMENTS {
        let config = example_config(deployment);
        expect_that!(config.check(), ok(is_empty()));
        expect_that!(config.inventory.domains, len(eq(4)));
        let targets = &config.inventory.targets;
        expect_that!(targets, len(eq(11)));
        expect_true!(targets.iter().all(|t| t.slots.get() == 8));
        expect_true!(targets.iter().all(|t| t.connections == 64));
        expect_true!(
            targets
                .iter()
                .all(|t| t.resources.cpu_millis == cores * 1000)
        );
        expect_true!(targets.iter().all(|t| t.resources.memory_mib == 64 << 10));
    }
}

#[googletest::test]
fn example_settings_are_valid_and_name_a_domain_of_the_inventory() {
    for (deployment, _) in DEPLOYMENTS {
        let entry =
            EntrySettings::from_json(&read_example_file(&format!("{deployment}/entry.json")))
                .unwrap();
        let agent =
            AgentSettings::from_json(&read_example_file(&format!("{deployment}/agent.json")))
                .unwrap();
        let domains = example_config(deployment).inventory.domains;
        expect_true!(domains.contains(&entry.domain));
        expect_true!(domains.contains(&agent.domain));
    }
}

/// Rows of the token table as cells: empty, deployment, owner, share, token, empty.
fn parse_token_table(readme: &str) -> Vec<Vec<String>> {
    readme
        .lines()
        .filter(|line| line.contains("`demo-"))
        .map(|line| line.split('|').map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

#[googletest::test]
fn documented_tokens_match_the_inventories() {
    let readme = read_example_file("README.md");
    let rows = parse_token_table(&readme);
    expect_that!(rows, len(eq(9)));
    for row in rows {
        let [_, deployment, owner, share, token, _] = row.as_slice() else {
            panic!("unexpected number of cells in the token table: {row:?}");
        };
        let config = example_config(deployment);
        let index = TokenIndex::new(&config.inventory);
        let group = owner.split(',').next().unwrap();
        match index.owner(token.trim_matches('`')) {
            Some(Identity::Operator(_)) => expect_that!(group, eq("operator")),
            Some(Identity::Group(found)) => {
                expect_that!(found.as_str(), eq(group));
                let share: f64 = share.parse().unwrap();
                expect_that!(config.group(found).unwrap().share, eq(share));
            }
            None => panic!("no inventory entry for the documented token {token}"),
        }
    }
}
