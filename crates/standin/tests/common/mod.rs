//! The `common` module serves stand-ins (test doubles) on loopback for their contract
//! tests.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_protocol::engine::{
    DecodeCommand, DecodeEvent, EngineClient, KvHandle, ModelEngine, PrefillCommand, PrefillResult,
};
use aspenloft_standin::engine::{EngineHandler, EngineOptions, EngineStandin};
use aspenloft_transport::server::{self, HttpHandler};
use async_std::net::TcpListener;
use async_std::task;
use futures::StreamExt;

/// Timeout of a request.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which an engine keeps a hold that its owner does not extend.
pub const HOLD_TIME: Duration = Duration::from_secs(5);

/// Binds a free loopback port and returns its address.
pub async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Serves `handler` on a free loopback port and returns its address.
pub async fn serve(handler: Arc<dyn HttpHandler>) -> SocketAddr {
    let (listener, addr) = bind().await;
    task::spawn(server::serve(listener, handler));
    addr
}

/// `Engine` is an engine served on loopback, with a client for it.
pub struct Engine {
    pub addr: SocketAddr,
    pub standin: Arc<EngineStandin>,
    pub client: EngineClient,
}

impl Engine {
    pub async fn start(options: EngineOptions) -> Engine {
        let standin = EngineStandin::new(options);
        let addr = serve(Arc::new(EngineHandler(standin.clone()))).await;
        Engine { addr, standin, client: EngineClient::new(addr) }
    }

    pub async fn prefill(
        &self,
        request: &str,
        prompt: &str,
    ) -> aspenloft_core::errors::Result<PrefillResult> {
        self.client.prefill(&prefill_command(request, prompt, 5), TIMEOUT).await
    }

    /// Decodes until the stream ends or fails, and returns what was received.
    pub async fn decode(&self, command: &DecodeCommand) -> aspenloft_core::errors::Result<Decoded> {
        let mut stream = self.client.decode(command, TIMEOUT).await?;
        let mut decoded = Decoded::default();
        while let Some(event) = stream.next().await {
            match event {
                Ok(DecodeEvent::Token(token)) => {
                    decoded.indexes.push(token.index);
                    decoded.text.push_str(&token.text);
                }
                Ok(DecodeEvent::Finished(_)) => decoded.finished = true,
                Err(_) => return Ok(decoded),
            }
        }
        Ok(decoded)
    }
}

/// `Decoded` is the part of a decode stream that was received.
#[derive(Debug, Default)]
pub struct Decoded {
    pub indexes: Vec<u64>,
    pub text: String,
    pub finished: bool,
}

pub fn prefill_command(request: &str, prompt: &str, priority: u8) -> PrefillCommand {
    PrefillCommand {
        request: request.into(),
        owner: "h0".into(),
        prompt: prompt.into(),
        priority,
        hold: HOLD_TIME,
    }
}

pub fn decode_command(request: &str, kv: &KvHandle, source: SocketAddr) -> DecodeCommand {
    DecodeCommand {
        request: request.into(),
        owner: "h0".into(),
        kv: kv.clone(),
        source,
        from_token: 0,
        sent: "".into(),
        max_tokens: aspenloft_core::units::Tokens(4),
        priority: 5,
        hold: HOLD_TIME,
    }
}
