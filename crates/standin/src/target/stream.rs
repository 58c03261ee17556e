//! Long streams: stock boards and catalogues.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval};

use super::requests;
use super::service::Shared;
use crate::web::Body;

/// One open stream. Its drop records whether it ended or was cancelled.
struct LineStream {
    shared: Arc<Shared>,
    interval: Interval,
    ticks: u64,
    has_ended: bool,
}

impl Drop for LineStream {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.streams -= 1;
        if self.has_ended {
            state.record.ended += 1;
        } else {
            state.record.dropped += 1;
        }
    }
}

/// Opens a stream, or refuses it if the limit of concurrent streams is reached.
pub(super) fn open(shared: &Arc<Shared>) -> Response<Body> {
    shared.count_if_draining();
    let mut state = shared.lock();
    if state.streams >= shared.settings.connections {
        state.record.shed += 1;
        return requests::not_run(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.streams += 1;
    state.record.streams += 1;
    drop(state);
    let mut interval = interval(shared.settings.tick_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let lines = LineStream {
        shared: Arc::clone(shared),
        interval,
        ticks: 0,
        has_ended: false,
    };
    Response::new(StreamBody::new(stream::unfold(lines, next_line)).boxed_unsync())
}

async fn next_line(mut lines: LineStream) -> Option<(std::io::Result<Frame<Bytes>>, LineStream)> {
    if lines.has_ended {
        return None;
    }
    lines.interval.tick().await;
    lines.has_ended = lines
        .shared
        .lock()
        .capacity
        .must_end_streams(Instant::now());
    let line = if lines.has_ended {
        format!("end {}\n", lines.ticks)
    } else {
        format!("tick {}\n", lines.ticks)
    };
    lines.ticks += 1;
    Some((Ok(Frame::data(line.into())), lines))
}
