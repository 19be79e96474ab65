//! Callers that exceed the limits, or stop before the end of what they send, at each listening
//! address of real processes that run with the memory and descriptors of a small machine. The
//! processes neither end nor exceed these, and ordinary requests are still answered.
//!
//! `COURSESTAND_PROGRAM` names another version of the daemon.
#![allow(missing_docs)]

#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../soak/processes.rs"]
#[allow(dead_code)]
mod processes;

mod backend;
mod crowd;
mod messages;
mod system;

use crowd::{Message, SEND_TIME};
use googletest::prelude::*;
use system::{FEW_DESCRIPTORS, MANY_DESCRIPTORS, System};

/// Callers of a crowd.
const CALLERS: usize = 300;
/// Callers of a crowd that takes more descriptors than a process has.
const CALLERS_OVER_THE_DESCRIPTORS: usize = 3 * FEW_DESCRIPTORS;

/// Lets a crowd send this message to the entry daemon's front port.
async fn front_withstands(message: Message) {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let front = system.addresses.front;
    system
        .withstand(front, &[(CALLERS, message)], SEND_TIME)
        .await;
}

/// Guards against heads without end that are kept.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_endless_heads() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let front = system.addresses.front;
    let crowd = [
        (CALLERS, messages::endless_slow_head()),
        (CALLERS / 3, messages::endless_head()),
    ];
    system.withstand(front, &crowd, SEND_TIME).await;
}

/// Guards against kept heads that exceed the limit of the catalog by far, on connections that
/// are never closed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_stopped_heads() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let front = system.addresses.front;
    let crowd = [
        (CALLERS, messages::long_stopped_head()),
        (CALLERS / 6, messages::stopped_head_under_the_limit()),
        (CALLERS / 6, messages::stopped_head_over_the_limit()),
    ];
    system.withstand(front, &crowd, SEND_TIME).await;
}

/// Guards against empty lines before a request that are read without a bound.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_empty_lines() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let front = system.addresses.front;
    let crowd = [
        (CALLERS, messages::slow_empty_lines()),
        (CALLERS / 3, messages::empty_lines()),
    ];
    system.withstand(front, &crowd, SEND_TIME).await;
}

/// Guards against bodies that are collected without a bound on all of them together.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_bodies_in_large_chunks() {
    front_withstands(messages::body_in_large_chunks()).await;
}

/// Guards against collected bodies whose chunks each take more memory than their bytes.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_bodies_in_small_chunks() {
    front_withstands(messages::body_in_small_chunks()).await;
}

/// Guards against memory that an announced length reserves until the last byte arrives.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_bodies_that_stop_short() {
    front_withstands(messages::body_that_stops_short("POST")).await;
}

/// Guards against heads whose lines keep a connection open for ever.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_slow_heads() {
    let mut system = System::start(FEW_DESCRIPTORS).await;
    let front = system.addresses.front;
    let crowd = [(CALLERS_OVER_THE_DESCRIPTORS, messages::slow_head())];
    system.withstand(front, &crowd, SEND_TIME).await;
}

/// Guards against silent connections that take all descriptors.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_silent_connections() {
    let mut system = System::start(FEW_DESCRIPTORS).await;
    let front = system.addresses.front;
    let crowd = [(CALLERS_OVER_THE_DESCRIPTORS, messages::silence())];
    system.withstand(front, &crowd, SEND_TIME).await;
}

/// Guards against requests in a row that are read ahead while their answers are not.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_pipelined_requests() {
    front_withstands(messages::pipelined_requests()).await;
}

/// Guards against trailers and extensions of chunks that are read without a bound.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_endless_trailers_and_chunk_extensions() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let front = system.addresses.front;
    let crowd = [
        (CALLERS / 2, messages::endless_trailers()),
        (CALLERS / 2, messages::endless_chunk_extension()),
    ];
    system.withstand(front, &crowd, SEND_TIME).await;
}

/// Guards against bodies of methods that usually have none escaping the bound of others.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_bodies_on_get() {
    front_withstands(messages::body_that_stops_short("GET")).await;
}

/// Guards against answers that are kept for callers that do not read them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_callers_that_never_read() {
    front_withstands(messages::request_for_a_large_answer()).await;
}

/// Guards against bounds that hold for each kind of caller, and not for all together.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_all_kinds_of_callers_at_once() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let front = system.addresses.front;
    let kinds = [
        messages::endless_head(),
        messages::long_stopped_head(),
        messages::empty_lines(),
        messages::body_in_large_chunks(),
        messages::body_in_small_chunks(),
        messages::body_that_stops_short("POST"),
        messages::slow_head(),
        messages::silence(),
        messages::pipelined_requests(),
        messages::endless_trailers(),
        messages::endless_chunk_extension(),
        messages::body_that_stops_short("GET"),
        messages::request_for_a_large_answer(),
    ];
    let callers = (CALLERS + CALLERS / 3) / kinds.len();
    let crowd = kinds.map(|message| (callers, message));
    system.withstand(front, &crowd, SEND_TIME).await;
}

/// Guards against bodies and heads that fill the memory of a control process at its API.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_withstands_bodies_and_heads_at_its_api() {
    const CALL: (&str, &str) = ("POST", "/v1/catalog");
    let (method, path) = CALL;
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let control = system.addresses.control;
    let crowd = [
        (
            CALLERS / 3,
            messages::interface_body_in_large_chunks(method, path),
        ),
        (
            CALLERS / 3,
            messages::interface_body_in_small_chunks(method, path),
        ),
        (CALLERS / 3, messages::stopped_interface_head(method, path)),
    ];
    system.withstand(control, &crowd, SEND_TIME).await;
}

/// Guards against bodies that are each short enough to be read without a bound on all of them
/// together, and never end.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_withstands_short_bodies_in_small_chunks() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let control = system.addresses.control;
    let body = messages::short_interface_body_in_small_chunks("POST", "/v1/backends/c");
    let callers = 2 * CALLERS;
    system
        .withstand(control, &[(callers, body)], SEND_TIME)
        .await;
}

/// Guards against heads at the directory that are kept on connections that are never closed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_withstands_stopped_heads_at_its_directory() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let directory = system.addresses.directory;
    let head = messages::stopped_interface_head("GET", "/v1/entry-daemons");
    system
        .withstand(directory, &[(CALLERS, head)], SEND_TIME)
        .await;
}

/// Guards against silent connections at the directory that take all descriptors of a control
/// process.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_withstands_silent_connections_at_its_directory() {
    let mut system = System::start(FEW_DESCRIPTORS).await;
    let directory = system.addresses.directory;
    let crowd = [(CALLERS_OVER_THE_DESCRIPTORS, messages::silence())];
    system.withstand(directory, &crowd, SEND_TIME).await;
}

/// Guards against silent connections at the control API that take all descriptors of a control
/// process.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_withstands_silent_connections_at_its_api() {
    let mut system = System::start(FEW_DESCRIPTORS).await;
    let control = system.addresses.control;
    let crowd = [(CALLERS_OVER_THE_DESCRIPTORS, messages::silence())];
    system.withstand(control, &crowd, SEND_TIME).await;
}

/// Guards against heads and bodies that fill the memory of an entry daemon at the port of its
/// readiness checks.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_heads_and_bodies_at_its_readiness_port() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let readiness = system.addresses.readiness;
    system
        .withstand(readiness, &interface_crowd("/v1/ready"), SEND_TIME)
        .await;
}

/// Guards against heads and bodies that fill the memory of an entry daemon at its admin port.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_heads_and_bodies_at_its_admin_port() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let admin = system.addresses.edge_admin;
    system
        .withstand(admin, &interface_crowd("/metrics"), SEND_TIME)
        .await;
}

/// Heads and bodies for an interface of the system that stop before their end.
fn interface_crowd(path: &str) -> [(usize, Message); 3] {
    [
        (CALLERS, messages::stopped_interface_head("GET", path)),
        (
            CALLERS / 6,
            messages::interface_body_in_large_chunks("GET", path),
        ),
        (
            CALLERS / 6,
            messages::interface_body_in_small_chunks("GET", path),
        ),
    ]
}

/// Guards against memory that is reserved for messages between processes that never arrive.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_withstands_stopped_messages_at_its_internal_port() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let internal = system.addresses.internal;
    let message = messages::stopped_internal_message();
    system
        .withstand(internal, &[(CALLERS, message)], SEND_TIME)
        .await;
}

/// Guards against silent connections at the internal port that take all descriptors.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_process_withstands_silent_connections_at_its_internal_port() {
    let mut system = System::start(FEW_DESCRIPTORS).await;
    let internal = system.addresses.internal;
    let crowd = [(CALLERS_OVER_THE_DESCRIPTORS, messages::silence())];
    system.withstand(internal, &crowd, SEND_TIME).await;
}

/// Guards against heads and bodies that fill the memory of an entry daemon at the port of other
/// daemons.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_withstands_heads_and_bodies_at_its_relay_port() {
    let mut system = System::start(MANY_DESCRIPTORS).await;
    let relay = system.addresses.relay;
    let crowd = [
        (CALLERS / 2, messages::body_in_large_chunks()),
        (CALLERS / 2, messages::long_stopped_head()),
    ];
    system.withstand(relay, &crowd, SEND_TIME).await;
}
