//! Validation of an inventory.

use std::ops::RangeInclusive;

use dfs_ids::FailureDomain;
use dfs_ids::GroupId;
use dfs_ids::IdError;
use dfs_ids::Millis;
use dfs_ids::Priority;
use dfs_ids::ServiceName;
use dfs_ids::Slots;
use dfs_ids::TargetId;
use dfs_wire::target::Resources;
use serde_json::Value;

use super::Group;
use super::Inventory;
use super::Operator;
use super::Queue;
use super::Service;
use super::Target;
use crate::TokenDigest;
use crate::ValidationErrors;
use crate::check::Checker;
use crate::check::KnownNames;
use crate::check::indexed;
use crate::fault::FieldPath;
use crate::fault::ItemKind;
use crate::fault::ValidationError;
use crate::fault::ok_unless_errors;
use crate::form;
use crate::form::Template;

const SHARE: RangeInclusive<f64> = 1e-6..=1e6;
const SLOTS: RangeInclusive<Slots> = Slots::new(1)..=Slots::new(100_000);
const CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;
const MAX_FAILURES: RangeInclusive<u32> = 1..=1_000;
const STRETCH: RangeInclusive<f64> = 1.0..=1e6;
const MAX_PLACED: RangeInclusive<u32> = 1..=10_000_000;

/// Parses an inventory and runs all checks.
///
/// # Errors
///
/// All errors of the document. Duplicate and unknown names are only reported once all values can be
/// deserialized, as a name may be among those that cannot.
pub fn check_inventory(document: &Value) -> Result<Inventory, ValidationErrors> {
    let parsed =
        form::read::<Inventory>(document.clone()).map_err(|errors| ValidationErrors { errors })?;
    let check_errors = parsed.value.validation_errors();
    let (inventory, errors) = parsed.with_check_errors(check_errors);
    ok_unless_errors(inventory, errors)
}

impl Inventory {
    /// Validates every value, and all names that refer to another part of the inventory.
    ///
    /// # Errors
    ///
    /// All errors, in the order of the checks.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        ok_unless_errors((), self.validation_errors())
    }

    fn validation_errors(&self) -> Vec<ValidationError> {
        let mut checker = Checker::default();
        self.check_names(&mut checker);
        self.check_tokens(&mut checker);
        let names = DefinedNames::new(self);
        for (path, group) in indexed(&FieldPath::new("groups"), &self.groups) {
            check_group(&mut checker, &path, group, &names);
        }
        self.check_queues(&mut checker, &names);
        for (path, target) in indexed(&FieldPath::new("targets"), &self.targets) {
            check_target(&mut checker, &path, target, &names);
        }
        checker.into_errors()
    }

    fn check_names(&self, checker: &mut Checker) {
        let domains = FieldPath::new("domains");
        let operators = FieldPath::new("operators");
        let services = FieldPath::new("services");
        let groups = FieldPath::new("groups");
        let targets = FieldPath::new("targets");
        checker.not_empty(domains.clone(), self.domains.is_empty(), ItemKind::Domain);
        checker.not_empty(
            operators.clone(),
            self.operators.is_empty(),
            ItemKind::Operator,
        );
        checker.not_empty(
            services.clone(),
            self.services.is_empty(),
            ItemKind::Service,
        );
        checker.not_empty(groups.clone(), self.groups.is_empty(), ItemKind::Group);
        checker.unique_elements(&domains, &self.domains);
        let name_field = |path: FieldPath, name: &str| path.field(name);
        checker.unique(
            indexed(&operators, &self.operators)
                .map(|(p, o)| (name_field(p, "operator"), &o.operator)),
        );
        checker.unique(
            indexed(&services, &self.services).map(|(p, s)| (name_field(p, "service"), &s.service)),
        );
        checker.unique(
            indexed(&groups, &self.groups).map(|(p, g)| (name_field(p, "group"), &g.group)),
        );
        checker.unique(
            indexed(&targets, &self.targets).map(|(p, t)| (name_field(p, "target"), &t.target)),
        );
        for (path, operator) in indexed(&operators, &self.operators) {
            let is_empty = operator.operator.is_empty();
            checker.not_empty(path.field("operator"), is_empty, ItemKind::Character);
        }
    }

    fn check_queues(&self, checker: &mut Checker, names: &DefinedNames) {
        let queues = FieldPath::new("queues");
        checker.unique(indexed(&queues, &self.queues).map(|(p, q)| (p.field("queue"), &q.queue)));
        let route = |queue: &Queue| format!("{}{}", queue.host, queue.prefix);
        checker.unique(indexed(&queues, &self.queues).map(|(p, q)| (p.field("prefix"), route(q))));
        for (path, queue) in indexed(&queues, &self.queues) {
            check_queue(checker, &path, queue, names);
        }
    }

    /// Checks that no token belongs to two groups or operators, and that each group has one.
    fn check_tokens(&self, checker: &mut Checker) {
        let operators = FieldPath::new("operators");
        let groups = FieldPath::new("groups");
        let mut digests = Vec::new();
        for (path, operator) in indexed(&operators, &self.operators) {
            digests.push((path.field("token_sha256"), &operator.token_sha256));
        }
        for (path, group) in indexed(&groups, &self.groups) {
            let list = path.field("tokens_sha256");
            checker.not_empty(
                list.clone(),
                group.tokens_sha256.is_empty(),
                ItemKind::Token,
            );
            digests.extend(indexed(&list, &group.tokens_sha256));
        }
        checker.unique(digests);
    }
}

/// Names that groups, queues and targets may refer to.
struct DefinedNames<'a> {
    domains: KnownNames<'a, FailureDomain>,
    services: KnownNames<'a, ServiceName>,
    groups: KnownNames<'a, GroupId>,
    /// Empty if the inventory lists no targets. Groups may then name any, as every target that
    /// announces itself is accepted.
    targets: KnownNames<'a, TargetId>,
}

impl<'a> DefinedNames<'a> {
    fn new(inventory: &'a Inventory) -> Self {
        let services = inventory.services.iter().map(|s| &s.service);
        let groups = inventory.groups.iter().map(|g| &g.group);
        let targets = inventory.targets.iter().map(|t| &t.target);
        Self {
            domains: KnownNames::new(ItemKind::Domain, &inventory.domains),
            services: KnownNames::new(ItemKind::Service, services),
            groups: KnownNames::new(ItemKind::Group, groups),
            targets: KnownNames::new(ItemKind::Target, targets),
        }
    }
}

fn check_group(checker: &mut Checker, path: &FieldPath, group: &Group, names: &DefinedNames) {
    checker.in_range(path.field("share"), group.share, &SHARE);
    if let Some(max_placed) = group.max_placed {
        checker.in_range(path.field("max_placed"), max_placed, &MAX_PLACED);
    }
    check_services(checker, &path.field("services"), &group.services, names);
    let targets = path.field("targets");
    checker.unique_elements(&targets, &group.targets);
    if !names.targets.is_empty() {
        checker.all_known(&targets, &group.targets, &names.targets);
    }
}

fn check_queue(checker: &mut Checker, path: &FieldPath, queue: &Queue, names: &DefinedNames) {
    checker.not_empty(
        path.field("host"),
        queue.host.is_empty(),
        ItemKind::Character,
    );
    checker.not_empty(
        path.field("prefix"),
        queue.prefix.is_empty(),
        ItemKind::Character,
    );
    checker.known(path.field("group"), &queue.group, &names.groups);
    checker.known(path.field("service"), &queue.service, &names.services);
    if let Some(max_failures) = queue.max_failures {
        checker.in_range(path.field("max_failures"), max_failures, &MAX_FAILURES);
    }
    checker.in_range(path.field("stretch"), queue.stretch, &STRETCH);
}

fn check_target(checker: &mut Checker, path: &FieldPath, target: &Target, names: &DefinedNames) {
    checker.known(path.field("domain"), &target.domain, &names.domains);
    checker.not_empty(
        path.field("rack"),
        target.rack.is_empty(),
        ItemKind::Character,
    );
    check_services(checker, &path.field("services"), &target.services, names);
    checker.in_range(path.field("slots"), target.slots, &SLOTS);
    checker.in_range(path.field("connections"), target.connections, &CONNECTIONS);
}

fn check_services(
    checker: &mut Checker,
    path: &FieldPath,
    services: &[ServiceName],
    names: &DefinedNames,
) {
    checker.not_empty(path.clone(), services.is_empty(), ItemKind::Service);
    checker.unique_elements(path, services);
    checker.all_known(path, services, &names.services);
}

impl Template for Inventory {
    fn template() -> Self {
        template_inventory().expect("the names of the template are identifiers")
    }
}

fn template_inventory() -> Result<Inventory, IdError> {
    let domain: FailureDomain = "domain".parse()?;
    let service: ServiceName = "service".parse()?;
    let target: TargetId = "target".parse()?;
    let group = Group {
        group: "group".parse()?,
        share: 1.0,
        tokens_sha256: vec![TokenDigest::of("group")],
        services: vec![service.clone()],
        targets: vec![target.clone()],
        max_placed: Some(1),
    };
    let queue = Queue {
        queue: "queue".parse()?,
        host: "host".to_owned(),
        prefix: "/queue/".to_owned(),
        group: group.group.clone(),
        service: service.clone(),
        priority: Priority::new(1),
        max_failures: Some(1),
        stretch: 1.0,
        objective_ms: Millis::new(1),
    };
    let target = Target {
        target,
        domain: domain.clone(),
        rack: "rack".to_owned(),
        services: vec![service.clone()],
        slots: Slots::new(1),
        connections: 1,
        resources: Resources::default(),
    };
    Ok(Inventory {
        domains: vec![domain],
        operators: vec![Operator {
            operator: "operator".to_owned(),
            token_sha256: TokenDigest::of("operator"),
        }],
        services: vec![Service {
            service,
            requires: Resources::default(),
        }],
        groups: vec![group],
        queues: vec![queue],
        targets: vec![target],
    })
}
