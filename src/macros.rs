//! Macros used throughout the crate: common derives and invariant checks.

/// Derives `Debug`, `Clone`, `PartialEq`, `Serialize` and `Deserialize` for plain data types.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the usual traits of a `Copy` enum without fields. Serde writes its variants in
/// `snake_case`.
#[macro_export]
macro_rules! closed {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(rename_all = "snake_case")]
            $item
        )*
    };
}

/// Checks an invariant. A violation is counted and logged in every build, and panics in builds
/// with debug assertions.
#[macro_export]
macro_rules! invariant {
    ($cond:expr, $($what:tt)+) => {
        if !$cond {
            $crate::invariants::record_violation(&format!($($what)+));
        }
    };
}
