//! Parsing, printing and arithmetic of identifiers and units.

use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use dfs_ids::IdError;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use googletest::prelude::*;

#[googletest::test]
fn an_identifier_keeps_its_text() {
    let group: GroupId = "binders.aba".parse().unwrap();
    expect_that!(group.to_string(), eq("binders.aba"));
    expect_that!(serde_json_round_trip(&group), eq("binders.aba"));
}

fn serde_json_round_trip(group: &GroupId) -> String {
    String::from(group.clone())
}

#[googletest::test]
fn bad_identifiers_name_the_fault() {
    expect_that!("".parse::<GroupId>(), err(eq(&IdError::Empty)));
    expect_that!(
        "x".repeat(129).parse::<GroupId>(),
        err(eq(&IdError::TooLong { bytes: 129 }))
    );
    let bad = IdError::BadCharacter {
        id: "a b".to_owned(),
        found: ' ',
    };
    expect_that!("a b".parse::<GroupId>(), err(eq(&bad)));
}

#[googletest::test]
fn numbers_parse_what_they_print() {
    expect_that!(
        "17".parse::<ConfigVersion>(),
        ok(eq(&ConfigVersion::new(17)))
    );
    let incarnation = Incarnation::new(0xfeed);
    expect_that!(
        incarnation.to_string().parse::<Incarnation>(),
        ok(eq(&incarnation))
    );
}

#[googletest::test]
fn moments_never_run_below_zero() {
    let later = Moment::from_millis(5);
    expect_that!(later.since(Moment::from_millis(2)), eq(Millis::new(3)));
    expect_that!(Moment::from_millis(2).since(later), eq(Millis::new(0)));
    expect_that!(
        Moment::from_millis(2) - Millis::new(9),
        eq(Moment::default())
    );
}
