//! The `direct` module sends a request directly to a pair of engines, as the baseline
//! for the latency that the router adds.

use aspenloft_core::errors::{Result, internal};
use aspenloft_core::prelude::{Duration, Name, RequestId, Tokens};
use aspenloft_protocol::engine::{
    CancelCommand, DecodeCommand, DecodeEvent, EngineClient, ModelEngine, PrefillCommand,
};
use futures::StreamExt;

use super::options::{EnginePair, RunOptions};
use super::stats::TokenTimer;

/// How long an engine holds memory for a request; the tool never extends it.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// The owner that the tool gives in its commands to engines.
const OWNER: &str = "aspenloft-load";

/// The priority of all direct requests.
const PRIORITY: u8 = 5;

/// Runs one request on `pair` until its answer is complete.
pub async fn complete(
    pair: EnginePair,
    options: &RunOptions,
    number: u64,
    prompt: &str,
    timer: &mut TokenTimer,
) -> Result<()> {
    let request: RequestId = format!("load-{}-{number}", options.seed).as_str().into();
    let owner: Name = OWNER.into();
    let prefill = PrefillCommand {
        request: request.clone(),
        owner: owner.clone(),
        prompt: prompt.into(),
        priority: PRIORITY,
        hold: HOLD_TIME,
    };
    let prefill_client = EngineClient::new(pair.prefill);
    let result = prefill_client.prefill(&prefill, options.timeout).await?;
    let decode = DecodeCommand {
        request: request.clone(),
        owner,
        kv: result.kv,
        source: pair.prefill,
        from_token: 0,
        sent: "".into(),
        max_tokens: Tokens(options.max_tokens),
        priority: PRIORITY,
        hold: HOLD_TIME,
    };
    let mut stream = EngineClient::new(pair.decode).decode(&decode, options.timeout).await?;
    while let Some(event) = stream.next().await {
        match event? {
            DecodeEvent::Token(_) => timer.record_token(),
            DecodeEvent::Finished(_) => {
                prefill_client.cancel(&CancelCommand { request }).await?;
                return Ok(());
            }
        }
    }
    Err(internal("the stream ended early"))
}
