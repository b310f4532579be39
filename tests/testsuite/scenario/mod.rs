//! Scripted scenarios: `tests/scenarios/*.scn`, one command per line, run on real nodes over an
//! in-memory network with a paused clock.

mod arguments;
mod checker;
mod checker_tests;
mod driver;
mod grammar;
mod random_walks;
mod trace;
mod world;

#[test]
fn scenarios() {
    insta::glob!("../../scenarios", "*.scn", |path| {
        let script = std::fs::read_to_string(path).expect("the script can be read");
        let transcript = driver::run_script(&script);
        insta::assert_snapshot!(transcript);
    });
}
