//! Headers in answers of back ends that the daemon does not read are counted, so that
//! operators notice them.
#![allow(missing_docs)]

mod common;

use common::{Edge, RouteSettings};
use coursestand_lab::scripted::Behaviour;
use googletest::prelude::*;

const LINES: &str = "x-new-word: 5.1\r\nx-load: 0,0,4\r\ncontent-language: en\r\n";

/// Guards against headers that the daemon ignores without showing them to operators.
#[gtest]
#[tokio::test]
async fn an_unread_header_is_counted_by_its_name() {
    let scripts = vec![(vec![], Behaviour::AnswerWithHeaders(200, LINES))];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    for number in 0..3 {
        edge.request("/safe/a", &format!("r{number}")).await;
    }
    let seen = edge.exchange.unread_headers().views();
    expect_that!(seen.len(), eq(1));
    let header = &seen["x-new-word"];
    expect_that!(
        (header.answers, header.first_value.as_str()),
        eq((3, "5.1"))
    );
    expect_that!(header.first_from, eq("i-0"));
    let counter = &edge.exchange.metrics().unread_headers;
    expect_that!(counter.with_label_values(&["x-new-word"]).get(), eq(3));
}

/// Guards against back ends that exhaust memory and metrics with many header names.
#[gtest]
#[tokio::test]
async fn header_names_beyond_the_first_sixteen_are_counted_together() {
    let lines: String = (0..40)
        .map(|number| format!("x-n{number}: 1\r\n"))
        .collect();
    let scripts = vec![(vec![], Behaviour::AnswerWithHeaders(200, lines.leak()))];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    edge.request("/safe/a", "r").await;
    expect_that!(edge.exchange.unread_headers().views().len(), eq(16));
    let counter = &edge.exchange.metrics().unread_headers;
    expect_that!(counter.with_label_values(&["other"]).get(), eq(24));
}
