//! Small macros shared by the whole crate: derive sets and invariant checks.

/// Gives plain data the common derive set: `Debug`, `Clone`, `PartialEq` and serde's pair.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Gives a small closed set the common derive set of a `Copy` enum, named in `snake_case`.
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

/// Checks an invariant: a violation is always counted and logged, and panics in builds with
/// debug assertions.
#[macro_export]
macro_rules! invariant {
    ($cond:expr, $($what:tt)+) => {
        if !$cond {
            $crate::invariants::record_violation(&format!($($what)+));
        }
    };
}
