//! Test of the end of the process, in a child process.

use std::process::Command;

use super::{EXIT_PANIC, spawn_essential};

/// Set in the child process, which runs this test alone.
const CHILD: &str = "MONSOON_TEST_PANICKING_TASK";

/// Guards against a process that runs on without one of its tasks.
#[tokio::test]
async fn a_panic_of_an_essential_task_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        let task = spawn_essential("test", async { panic!("unexpected input") });
        task.await.expect("the process has ended");
        return;
    }
    let name = "task::tests::a_panic_of_an_essential_task_ends_the_process";
    let status = Command::new(std::env::current_exe().expect("the test program"))
        .args([name, "--exact"])
        .env(CHILD, "1")
        .output()
        .expect("the test program runs");
    let text = String::from_utf8_lossy(&status.stdout);
    assert_eq!(status.status.code(), Some(EXIT_PANIC), "{text}");
    assert!(!text.contains("test result"), "{text}");
}
