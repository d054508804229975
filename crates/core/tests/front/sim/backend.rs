//! A server that holds keys.

use std::sync::Arc;

#[derive(Clone, Debug)]
pub(super) struct Hold {
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) fence: u64,
    pub(super) until: u64,
}

/// A server that holds keys.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) id: Arc<str>,
    pub(super) up: bool,
    pub(super) born: u64,
    pub(super) back_at: u64,
    pub(super) draining: bool,
    pub(super) holds: Vec<Hold>,
    pub(super) seen: Vec<(u16, u16, u64)>,
}

impl Backend {
    pub(super) fn grant(&mut self, from: u16, to: u16, fence: u64, until: u64) -> bool {
        let newer = self
            .seen
            .iter()
            .any(|(a, b, seen)| *a <= to && from <= *b && *seen > fence);
        if newer {
            return false;
        }
        self.seen.retain(|(a, b, _)| *a < from || *b > to);
        self.seen.push((from, to, fence));
        self.cut(from, to, fence);
        self.holds.push(Hold {
            from,
            to,
            fence,
            until,
        });
        true
    }

    /// Takes keys out of every hold.
    pub(super) fn cut(&mut self, from: u16, to: u16, fence: u64) {
        let mut kept = Vec::new();
        for hold in self.holds.drain(..) {
            if hold.to < from || to < hold.from || hold.fence > fence {
                kept.push(hold);
                continue;
            }
            if hold.from < from {
                kept.push(Hold {
                    to: from - 1,
                    ..hold.clone()
                });
            }
            if to < hold.to {
                kept.push(Hold {
                    from: to + 1,
                    ..hold
                });
            }
        }
        self.holds = kept;
    }
}
