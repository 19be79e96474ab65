//! Headers of back ends' answers that nothing reads.
#![allow(missing_docs)]

mod common;

use common::{Edge, Rules};
use coursestand_lab::scripted::Behaviour;
use googletest::prelude::*;

const LINES: &str = "x-new-word: 5.1\r\nx-load: 0,0,4\r\ncontent-language: en\r\n";

/// Guards against back ends that say something nobody reads and nobody sees.
#[gtest]
#[tokio::test]
async fn a_header_that_nothing_reads_is_counted_by_its_name() {
    let scripts = vec![(vec![], Behaviour::AnswerWithHeaders(200, LINES))];
    let edge = Edge::start(Rules::default(), scripts).await;
    for number in 0..3 {
        edge.ask("/safe/a", &format!("r{number}")).await;
    }
    let seen = edge.exchange.unread_headers().views();
    expect_that!(seen.len(), eq(1));
    let one = &seen["x-new-word"];
    expect_that!((one.answers, one.first_value.as_str()), eq((3, "5.1")));
    expect_that!(one.first_from, eq("i-0"));
    let counter = &edge.exchange.metrics().unread_headers;
    expect_that!(counter.with_label_values(&["x-new-word"]).get(), eq(3));
}

/// Guards against back ends that fill memory and metrics with names of their own.
#[gtest]
#[tokio::test]
async fn names_beyond_the_first_ones_are_counted_together() {
    let lines: String = (0..40)
        .map(|number| format!("x-n{number}: 1\r\n"))
        .collect();
    let scripts = vec![(vec![], Behaviour::AnswerWithHeaders(200, lines.leak()))];
    let edge = Edge::start(Rules::default(), scripts).await;
    edge.ask("/safe/a", "r").await;
    expect_that!(edge.exchange.unread_headers().views().len(), eq(16));
    let counter = &edge.exchange.metrics().unread_headers;
    expect_that!(counter.with_label_values(&["other"]).get(), eq(24));
}
