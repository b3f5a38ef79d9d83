//! The examples are valid and have the sizes and tokens that their page states.

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

const DEPLOYMENTS: [(&str, u32); 2] = [("member-desk", 16), ("returns-svc", 32)];

fn read(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    std::fs::read_to_string(root.join(name)).unwrap()
}

fn example(deployment: &str) -> Config {
    let json = |file| serde_json::from_str(&read(&format!("{deployment}/{file}"))).unwrap();
    Config {
        version: ConfigVersion::new(1),
        inventory: check_inventory(&json("inventory.json")).unwrap(),
        rules: check_rules(&json("rules.json")).unwrap(),
    }
}

#[googletest::test]
fn configurations_are_valid_and_have_their_sizes() {
    for (deployment, cores) in DEPLOYMENTS {
        let config = example(deployment);
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
fn settings_are_valid_and_name_a_domain_of_the_inventory() {
    for (deployment, _) in DEPLOYMENTS {
        let entry = EntrySettings::from_json(&read(&format!("{deployment}/entry.json"))).unwrap();
        let agent = AgentSettings::from_json(&read(&format!("{deployment}/agent.json"))).unwrap();
        let domains = example(deployment).inventory.domains;
        expect_true!(domains.contains(&entry.domain));
        expect_true!(domains.contains(&agent.domain));
    }
}

/// Rows of the table of tokens: deployment, owner, share, token.
fn token_rows(page: &str) -> Vec<Vec<String>> {
    page.lines()
        .filter(|line| line.contains("`demo-"))
        .map(|line| line.split('|').map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

#[googletest::test]
fn tokens_of_the_page_are_those_of_the_inventories() {
    let page = read("README.md");
    let rows = token_rows(&page);
    expect_that!(rows, len(eq(9)));
    for row in rows {
        let [_, deployment, owner, share, token, _] = row.as_slice() else {
            panic!("a row of other cells: {row:?}");
        };
        let config = example(deployment);
        let index = TokenIndex::new(&config.inventory);
        let group = owner.split(',').next().unwrap();
        match index.owner(token.trim_matches('`')) {
            Some(Identity::Operator(_)) => expect_that!(group, eq("operator")),
            Some(Identity::Group(found)) => {
                expect_that!(found.as_str(), eq(group));
                let share: f64 = share.parse().unwrap();
                expect_that!(config.group(found).unwrap().share, eq(share));
            }
            None => panic!("no owner of {token}"),
        }
    }
}
