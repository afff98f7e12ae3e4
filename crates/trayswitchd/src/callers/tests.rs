//! Tests of the callers side.

use std::{net::TcpListener, thread};

use googletest::prelude::*;

use super::permit::has_ended;
use crate::endpoint::EndpointError;

fn lost() -> EndpointError {
    EndpointError::Lost("the connection broke off".into())
}

#[gtest]
fn an_endpoint_that_ends_while_it_is_looked_at_has_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ending = thread::spawn(move || {
        let connection = listener.accept().unwrap();
        drop(listener);
        drop(connection);
    });

    let ended = has_ended(address, &lost());

    ending.join().unwrap();
    expect_that!(ended, eq(true));
}

#[gtest]
fn an_endpoint_that_closes_a_connection_and_takes_the_next_is_alive() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let closing = thread::spawn(move || {
        drop(listener.accept().unwrap());
        listener.accept().unwrap();
        listener
    });

    let ended = has_ended(address, &lost());

    drop(closing.join().unwrap());
    expect_that!(ended, eq(false));
}
