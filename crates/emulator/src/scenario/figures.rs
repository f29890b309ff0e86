//! A macro that declares a table of a scenario file, with a default for each key.

/// Declares a struct whose fields are the keys of a table, with their defaults; unknown keys are rejected.
macro_rules! figures {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty = $value:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }
        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $value,)* }
            }
        }
    };
}

pub(super) use figures;
