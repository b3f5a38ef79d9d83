//! Macro that declares events together with their catalogue entries.

use dfs_conf::LogLevel;

/// Catalogue entry: what all events of a kind have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// Stable number; never changed and never reused for another kind.
    pub number: u16,
    /// Name in snake case, unique in the catalogue.
    pub name: &'static str,
    /// Level at which events of this kind are logged.
    pub level: LogLevel,
    /// Field names in the order in which they are written.
    pub fields: &'static [&'static str],
}

impl EventKind {
    /// Whether events of this kind concern a single submission, which they name in a field.
    #[must_use]
    pub fn is_request_scoped(&self) -> bool {
        self.fields.contains(&"submission")
    }
}

/// Declares the enum of an area and the catalogue entry of each variant.
///
/// A field's identifier is also its key in the log line.
macro_rules! events {
    (
        $(#[$enum_doc:meta])*
        $area:ident {
            $(
                $(#[$doc:meta])*
                $number:literal $level:ident $name:literal $variant:ident {
                    $( $(#[$field_doc:meta])* $field:ident: $type:ty, )*
                }
            )*
        }
    ) => {
        $(#[$enum_doc])*
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum $area {
            $(
                $(#[$doc])*
                $variant { $( $(#[$field_doc])* $field: $type, )* },
            )*
        }

        impl $area {
            /// Every kind of event of this area, in ascending order of number.
            pub const KINDS: &'static [$crate::event::EventKind] = &[$(
                $crate::event::EventKind {
                    number: $number,
                    name: $name,
                    level: dfs_conf::LogLevel::$level,
                    fields: &[$(stringify!($field)),*],
                },
            )*];

            /// Number, name, level and fields of the event.
            #[must_use]
            pub const fn kind(&self) -> &'static $crate::event::EventKind {
                match self {
                    $( Self::$variant { .. } => &const {
                        $crate::event::EventKind {
                            number: $number,
                            name: $name,
                            level: dfs_conf::LogLevel::$level,
                            fields: &[$(stringify!($field)),*],
                        }
                    }, )*
                }
            }
        }

        impl std::fmt::Display for $area {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                let kind = self.kind();
                write!(f, "{} {}", kind.number, kind.name)?;
                match self {
                    $( Self::$variant { $($field),* } => {
                        $( $crate::event::value::write_field(f, stringify!($field), $field)?; )*
                    } )*
                }
                Ok(())
            }
        }
    };
}

pub(crate) use events;
