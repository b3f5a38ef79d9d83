//! Parsing, formatting and arithmetic of identifiers, integer types and time units.

use dfs_ids::ConfigVersion;
use dfs_ids::GroupId;
use dfs_ids::IdError;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use googletest::prelude::*;

#[googletest::test]
fn identifier_keeps_its_text_when_printed_and_serialized() {
    let group: GroupId = "binders.aba".parse().unwrap();
    expect_that!(group.to_string(), eq("binders.aba"));
    expect_that!(serialized_text(&group), eq("binders.aba"));
}

/// `GroupId` is serialized through this conversion (`#[serde(into = "String")]`).
fn serialized_text(group: &GroupId) -> String {
    String::from(group.clone())
}

#[googletest::test]
fn invalid_identifiers_are_rejected_with_the_cause() {
    expect_that!("".parse::<GroupId>(), err(eq(&IdError::Empty)));
    expect_that!(
        "x".repeat(129).parse::<GroupId>(),
        err(eq(&IdError::TooLong { bytes: 129 }))
    );
    let bad_character = IdError::BadCharacter {
        id: "a b".to_owned(),
        found: ' ',
    };
    expect_that!("a b".parse::<GroupId>(), err(eq(&bad_character)));
}

#[googletest::test]
fn integer_types_parse_their_printed_form() {
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
fn moment_arithmetic_saturates_at_zero() {
    let later = Moment::from_millis(5);
    expect_that!(later.since(Moment::from_millis(2)), eq(Millis::new(3)));
    expect_that!(Moment::from_millis(2).since(later), eq(Millis::new(0)));
    expect_that!(
        Moment::from_millis(2) - Millis::new(9),
        eq(Moment::default())
    );
}
