//! The `serve` module serves the requests that other hosts forward.

use aspenloft_core::clock::after;
use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::Arc;
use aspenloft_transport::frames;
use async_std::channel::Sender;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::message::{ForwardReply, ForwardRequest, header_lines};
use crate::front::Frontend;
use crate::responses::ResponseBody;

/// The largest part of a body in one reply, in bytes.
const MAX_DATA_BYTES: usize = 256 * 1024;

/// `ForwardHandler` serves forwarded requests.
#[async_trait]
pub trait ForwardHandler: Send + Sync {
    /// Serves the request and sends the parts of its response to `tx`. The future is dropped
    /// when the caller or the forwarding host is gone.
    async fn serve_forwarded(&self, req: ForwardRequest, tx: Sender<Bytes>);
}

#[async_trait]
impl ForwardHandler for Frontend {
    async fn serve_forwarded(&self, req: ForwardRequest, tx: Sender<Bytes>) {
        // The host ends only when the request has.
        let _open = self.shutdown.track_connection();
        let _in_flight = self.shutdown.track_request();
        // A closed channel means that the forwarding host has gone or cancelled the request.
        let _ = match self.respond_to_forwarded(req).await {
            Ok(response) => send_response(response, &tx).await,
            Err(error) => send(&tx, &ForwardReply::Failed(error)).await,
        };
    }
}

impl Frontend {
    async fn respond_to_forwarded(&self, req: ForwardRequest) -> Result<Response<ResponseBody>> {
        let not_ready = |message: String| Error::new(ErrorCode::NotReady, message);
        let configuration = self
            .view
            .configuration()
            .filter(|c| self.view.is_complete() && c.version >= req.configuration)
            .ok_or_else(|| {
                not_ready(format!("the host does not have configuration {}", req.configuration))
            })?;
        if self.forwarder.path.is_cut() {
            return Err(not_ready("the host reaches no backend server either".to_string()));
        }
        let now = self.clock.now();
        let head = req.head()?;
        let metadata = self.dialect.read_request(&head)?;
        let arrived = now.checked_sub(req.age).unwrap_or(now);
        let selected = self.select_route(&head, &metadata, &configuration)?;
        let length = u64::try_from(req.body.len()).unwrap_or(u64::MAX);
        let body_reservation = self.reserve_body(Some(length))?;
        let inbound = selected.inbound(head, req.body, body_reservation, metadata, arrived);
        let inbound = inbound.forwarded(after(now, req.remaining), req.runs);
        log::info!(event = "forwarded_here", request = inbound.log_id(); "");
        self.metrics.forwarded("served");
        let inbound = Arc::new(inbound);
        let serving = Box::pin(self.serve_here(inbound.clone(), &configuration, req.is_counted));
        self.unless_ending(serving, || inbound.progress.may_have_run()).await
    }
}

async fn send_response(response: Response<ResponseBody>, tx: &Sender<Bytes>) -> Result<()> {
    let (head, mut body) = response.into_parts();
    let length = body.size_hint().exact();
    let reply = ForwardReply::Head(head.status.as_u16(), header_lines(&head.headers), length);
    send(tx, &reply).await?;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return send(tx, &ForwardReply::Broken).await };
        let Ok(mut data) = frame.into_data() else { continue };
        while !data.is_empty() {
            let part = data.split_to(data.len().min(MAX_DATA_BYTES));
            send(tx, &ForwardReply::Data(part)).await?;
        }
    }
    send(tx, &ForwardReply::End).await
}

async fn send(tx: &Sender<Bytes>, reply: &ForwardReply) -> Result<()> {
    let mut buf = BytesMut::new();
    frames::encode(reply, &mut buf)?;
    tx.send(buf.freeze()).await.map_err(|_| {
        Error::new(ErrorCode::Cancelled, "the forwarding host has gone")
            .execution(Execution::Unknown)
    })
}
