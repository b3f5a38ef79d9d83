//! Diffs between versions, updates of the configuration held, and the token index.

use dfs_conf::Adoption;
use dfs_conf::Config;
use dfs_conf::ConfigDiff;
use dfs_conf::ConfigHolder;
use dfs_conf::ConfigUpdate;
use dfs_conf::DiffError;
use dfs_conf::Identity;
use dfs_conf::SectionDiff;
use dfs_conf::TokenDigest;
use dfs_conf::TokenIndex;
use dfs_conf::UpdateLog;
use dfs_ids::ConfigVersion;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

fn version(n: u64) -> ConfigVersion {
    ConfigVersion::new(n)
}

fn group(name: &str, share: f64) -> Value {
    json!({
        "group": name, "share": share, "services": ["desk"],
        "tokens_sha256": [TokenDigest::of(name)],
    })
}

fn config(n: u64, groups: &[Value]) -> Config {
    let config = json!({
        "version": n,
        "inventory": {
            "domains": ["aba"],
            "operators": [{"operator": "ada", "token_sha256": TokenDigest::of("ada")}],
            "services": [{"service": "desk"}],
            "groups": groups,
        },
        "rules": {},
    });
    serde_json::from_value(config).unwrap()
}

/// As JSON, in which a failed assertion shows the differing lines.
fn as_json(config: &Config) -> Value {
    serde_json::to_value(config).unwrap()
}

/// Serializes and deserializes the diff between two versions and applies it.
fn apply_serialized_diff(old: &Config, new: &Config) -> Config {
    let diff = ConfigDiff::between(old, new);
    let json = serde_json::to_string(&diff).unwrap();
    let received: ConfigDiff = serde_json::from_str(&json).unwrap();
    expect_that!(received, eq(&diff));
    received.apply(old).unwrap()
}

#[googletest::test]
fn applying_a_diff_results_in_the_later_version() {
    let old = config(1, &[group("a", 1.0), group("b", 1.0), group("c", 1.0)]);
    let cases = [
        vec![group("a", 1.0), group("b", 1.0), group("c", 1.0)],
        vec![group("a", 1.0), group("b", 2.0), group("c", 1.0)],
        vec![group("a", 1.0), group("c", 1.0)],
        vec![group("a", 3.0), group("c", 1.0), group("d", 1.0)],
        vec![group("c", 1.0), group("a", 1.0)],
        vec![],
    ];
    for groups in cases {
        let new = config(2, &groups);
        expect_that!(
            as_json(&apply_serialized_diff(&old, &new)),
            eq(&as_json(&new))
        );
    }
}

/// All lists that can be made of these names, each at most once.
fn arrangements(names: &[&'static str]) -> Vec<Vec<&'static str>> {
    let mut lists = vec![vec![]];
    for (index, first) in names.iter().enumerate() {
        let mut others = names.to_vec();
        others.remove(index);
        for mut list in arrangements(&others) {
            list.insert(0, first);
            lists.push(list);
        }
    }
    lists
}

#[googletest::test]
fn applying_a_diff_results_in_any_order_of_old_new_and_changed_elements() {
    let old = config(1, &["a", "b", "c", "d"].map(|name| group(name, 1.0)));
    for names in arrangements(&["a", "b", "c", "d", "e"]) {
        for changed in ["", "b"] {
            let share = |name: &str| if name == changed { 2.0 } else { 1.0 };
            let groups = names.iter().map(|name| group(name, share(name)));
            let new = config(2, &groups.collect::<Vec<_>>());
            expect_that!(
                as_json(&apply_serialized_diff(&old, &new)),
                eq(&as_json(&new)),
                "{names:?}"
            );
        }
    }
}

#[googletest::test]
fn an_element_that_is_inserted_or_moved_makes_no_long_diff() {
    let names: Vec<_> = (0..90).map(|number| format!("group-{number}")).collect();
    let listed = |names: &[String]| {
        let groups = names.iter().map(|name| group(name, 1.0));
        groups.collect::<Vec<_>>()
    };
    let old = config(1, &listed(&names));
    let mut inserted = names.clone();
    inserted.insert(40, "group-90".to_owned());
    inserted.pop();
    let mut moved = names;
    moved.swap(3, 70);
    let element_bytes = group("group-90", 1.0).to_string().len();
    for names in [inserted, moved] {
        let new = config(2, &listed(&names));
        let diff = ConfigDiff::between(&old, &new);
        let bytes = serde_json::to_string(&diff).unwrap().len();
        expect_that!(bytes, lt(4 * element_bytes));
    }
}

#[googletest::test]
fn an_update_over_many_versions_is_no_larger_than_the_configuration() {
    let versions: Vec<_> = (1..=17_u32)
        .map(|n| config(n.into(), &["a", "b"].map(|name| group(name, n.into()))))
        .collect();
    let mut log = UpdateLog::default();
    for two in versions.windows(2) {
        log.record(Some(&two[0]), &two[1], Vec::new());
    }
    let current = versions.last().unwrap();
    let full = log.update_for(version(0), current).unwrap();
    for held in 1..17 {
        let update = log.update_for(version(held), current).unwrap();
        expect_that!(update.json.get().len(), le(full.json.get().len()));
        let mut holder = ConfigHolder::default();
        holder.adopt_if_newer(versions[usize::try_from(held).unwrap() - 1].clone());
        let update = serde_json::from_str(update.json.get()).unwrap();
        let adopted = holder.apply_update(update);
        expect_that!(adopted, ok(eq(Adoption::Adopted(version(17)))));
    }
}

#[googletest::test]
fn a_diff_contains_only_changed_elements() {
    let old = config(1, &[group("a", 1.0), group("b", 1.0)]);
    let mut new = config(2, &[group("a", 1.0), group("b", 2.0)]);
    let diff = ConfigDiff::between(&old, &new);
    let one_changed = matches_pattern!(SectionDiff::Edited {
        changed: len(eq(1)),
        removed: is_empty(),
    });
    expect_that!(diff.groups, one_changed);
    expect_true!(diff.services.is_unchanged());
    expect_true!(diff.targets.is_unchanged());
    expect_that!(diff.rules, none());
    new.rules.retry.max_attempts = 2;
    new.inventory.domains.push("lagos".parse().unwrap());
    expect_that!(
        as_json(&apply_serialized_diff(&old, &new)),
        eq(&as_json(&new))
    );
}

#[googletest::test]
fn a_diff_with_another_base_is_rejected() {
    let diff = ConfigDiff::between(&config(1, &[]), &config(2, &[group("a", 1.0)]));
    let wrong_base = DiffError::WrongBase {
        base: version(1),
        held: version(3),
    };
    expect_that!(diff.apply(&config(3, &[])), err(eq(&wrong_base)));
}

#[googletest::test]
fn only_higher_versions_are_adopted() {
    let mut holder = ConfigHolder::default();
    expect_that!(holder.version(), none());
    expect_true!(holder.is_newer(version(0)));
    let adopted = Adoption::Adopted(version(5));
    expect_that!(holder.adopt_if_newer(config(5, &[])), eq(adopted));
    let not_newer = Adoption::NotNewer { held: version(5) };
    expect_that!(
        holder.adopt_if_newer(config(5, &[group("a", 1.0)])),
        eq(not_newer)
    );
    expect_that!(holder.adopt_if_newer(config(4, &[])), eq(not_newer));
    expect_that!(
        as_json(holder.current().unwrap()),
        eq(&as_json(&config(5, &[])))
    );
    expect_false!(holder.is_newer(version(5)));
    expect_that!(
        holder.adopt_if_newer(config(9, &[])),
        eq(Adoption::Adopted(version(9)))
    );
}

#[googletest::test]
fn late_and_repeated_updates_leave_the_highest_version() {
    let versions: Vec<Config> = (1..=4)
        .map(|n| config(n, &[group("a", f64::from(u32::try_from(n).unwrap()))]))
        .collect();
    let full = |i: usize| ConfigUpdate::Full(Box::new(versions[i].clone()));
    let diff = |i: usize, j: usize| {
        ConfigUpdate::Diffs(vec![ConfigDiff::between(&versions[i], &versions[j])])
    };
    let mut holder = ConfigHolder::default();
    let nothing_held = DiffError::NothingHeld { base: version(1) };
    expect_that!(holder.apply_update(diff(0, 1)), err(eq(nothing_held)));
    holder.apply_update(full(1)).unwrap();
    holder.apply_update(full(0)).unwrap();
    holder.apply_update(diff(0, 1)).unwrap();
    expect_that!(holder.version(), some(eq(version(2))));
    expect_that!(holder.apply_update(diff(2, 3)), err(anything()));
    holder.apply_update(diff(1, 3)).unwrap();
    holder.apply_update(full(2)).unwrap();
    expect_that!(
        as_json(holder.current().unwrap()),
        eq(&as_json(&versions[3]))
    );
}

#[googletest::test]
fn consecutive_diffs_are_applied_in_one_update() {
    let versions: Vec<Config> = [1_u32, 2, 3, 4]
        .map(|n| config(n.into(), &[group("a", n.into())]))
        .to_vec();
    let diffs = versions
        .windows(2)
        .map(|two| ConfigDiff::between(&two[0], &two[1]));
    let mut holder = ConfigHolder::default();
    holder.adopt_if_newer(versions[1].clone());
    let adopted = holder.apply_update(ConfigUpdate::Diffs(diffs.collect()));
    expect_that!(adopted, ok(eq(Adoption::Adopted(version(4)))));
    expect_that!(
        as_json(holder.current().unwrap()),
        eq(&as_json(&versions[3]))
    );
}

#[googletest::test]
fn the_token_index_finds_the_owner_of_a_token() {
    let index = TokenIndex::new(&config(1, &[group("a", 1.0), group("b", 1.0)]).inventory);
    let b = Identity::Group("b".parse().unwrap());
    expect_that!(index.owner("b"), some(eq(&b)));
    let ada = Identity::Operator("ada".to_owned());
    expect_that!(index.owner("ada"), some(eq(&ada)));
    expect_that!(index.owner("c"), none());
    expect_that!(index.owner(""), none());
}
