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

/// One open stream; counts its end.
struct Board {
    shared: Arc<Shared>,
    interval: Interval,
    ticks: u64,
    over: bool,
}

impl Drop for Board {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.streams -= 1;
        if self.over {
            state.record.ended += 1;
        } else {
            state.record.dropped += 1;
        }
    }
}

/// Opens a stream, or refuses it when all connections are in use.
pub(super) fn open(shared: &Arc<Shared>) -> Response<Body> {
    shared.note_arrival();
    let mut state = shared.lock();
    if state.streams >= shared.settings.connections {
        state.record.shed += 1;
        return requests::not_run(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.streams += 1;
    state.record.streams += 1;
    drop(state);
    let mut interval = interval(shared.settings.tick);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let board = Board {
        shared: Arc::clone(shared),
        interval,
        ticks: 0,
        over: false,
    };
    Response::new(StreamBody::new(stream::unfold(board, next_line)).boxed_unsync())
}

async fn next_line(mut board: Board) -> Option<(std::io::Result<Frame<Bytes>>, Board)> {
    if board.over {
        return None;
    }
    board.interval.tick().await;
    board.over = board.shared.lock().capacity.is_over(Instant::now());
    let line = if board.over {
        format!("end {}\n", board.ticks)
    } else {
        format!("tick {}\n", board.ticks)
    };
    board.ticks += 1;
    Some((Ok(Frame::data(line.into())), board))
}
