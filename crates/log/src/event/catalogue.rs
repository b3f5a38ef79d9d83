//! Declaration of events together with their catalogue entries.

use dfs_conf::LogLevel;

/// The fixed properties of a kind of event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// Number; it never changes and is never used again for another kind.
    pub number: u16,
    /// Short name in snake case.
    pub name: &'static str,
    /// Severity.
    pub level: LogLevel,
    /// Keys of its fields in the order in which they are written.
    pub fields: &'static [&'static str],
}

impl EventKind {
    /// Whether an event of this kind belongs to a single request: it names its submission.
    #[must_use]
    pub fn is_of_request(&self) -> bool {
        self.fields.contains(&"submission")
    }
}

/// Declares the enum of one area and the catalogue entry of each variant.
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
            /// Every kind of event of this area in order of number.
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
