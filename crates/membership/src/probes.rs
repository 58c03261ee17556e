//! Probes of suspected members.
//!
//! A balancer that recently became a watcher, because other watchers were lost, has received no
//! announcement of the member yet. Instead of waiting for the whole suspicion timeout it probes the
//! member, and votes if there is no answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use monsoon_model::{AgentId, Instant};

use crate::bounds::{MAX_PROBES, PROBE_INTERVAL, PROBE_TIMEOUT};

#[derive(Debug)]
struct Probe {
    /// Watcher that suspects the member.
    requester: SocketAddr,
    /// Control address of the member.
    control: SocketAddr,
    incarnation: u64,
    started_at: Instant,
    sent_at: Option<Instant>,
}

/// A suspected member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspect {
    pub(crate) id: AgentId,
    pub(crate) incarnation: u64,
    pub(crate) control: SocketAddr,
}

/// Probes that are due.
#[derive(Debug, Default)]
pub(crate) struct Due {
    /// Control addresses of members to probe.
    pub(crate) to_probe: Vec<SocketAddr>,
    /// Members that did not answer, each with the requester of the probe.
    pub(crate) unanswered: Vec<(Suspect, SocketAddr)>,
}

/// Probes without an answer so far.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    open: BTreeMap<AgentId, Probe>,
}

impl Probes {
    /// Starts to probe a member. At [`MAX_PROBES`] nothing happens; the requester repeats its vote.
    pub(crate) fn open(&mut self, now: Instant, suspect: Suspect, requester: SocketAddr) {
        let Suspect {
            id,
            incarnation,
            control,
        } = suspect;
        if self.open.len() < MAX_PROBES {
            let probe = Probe {
                requester,
                control,
                incarnation,
                started_at: now,
                sent_at: None,
            };
            self.open.entry(id).or_insert(probe);
        }
        assert!(
            self.open.len() <= MAX_PROBES,
            "the number of open probes is bounded"
        );
    }

    /// Ends the probe of a member that answered. Returns the requester.
    pub(crate) fn close(&mut self, id: AgentId) -> Option<SocketAddr> {
        self.open.remove(&id).map(|probe| probe.requester)
    }

    /// Returns the members to probe now and those whose probe timed out, which are removed.
    pub(crate) fn tick(&mut self, now: Instant) -> Due {
        let mut due = Due::default();
        for (&id, probe) in &mut self.open {
            if now.since(probe.started_at) >= PROBE_TIMEOUT {
                let Probe {
                    incarnation,
                    control,
                    ..
                } = *probe;
                due.unanswered.push((
                    Suspect {
                        id,
                        incarnation,
                        control,
                    },
                    probe.requester,
                ));
            } else if probe
                .sent_at
                .is_none_or(|at| now.since(at) >= PROBE_INTERVAL)
            {
                probe.sent_at = Some(now);
                due.to_probe.push(probe.control);
            }
        }
        for (suspect, _) in &due.unanswered {
            self.open.remove(&suspect.id);
        }
        due
    }
}
