//! Macro for table-driven tests.

/// Table-driven tests: `cases! { run: name => input; ... }` makes one test function for each row,
/// which calls `run` with a reference to the input.
#[macro_export]
macro_rules! cases {
    ($run:ident: $($name:ident => $input:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $run(&$input);
            }
        )+
    };
}
