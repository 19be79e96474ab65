//! Peak demand for slots over the last one to two periods.

/// Peak of what was in flight, waiting or refused, kept for two periods so that
/// a peak just before the end of a period is not lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakDemand {
    current: u32,
    previous: u32,
}

impl PeakDemand {
    /// Notes that `wanted` slots would be in use now.
    pub fn note(&mut self, wanted: u32) {
        self.current = self.current.max(wanted);
    }

    /// The peak.
    pub fn peak(&self) -> u32 {
        self.current.max(self.previous)
    }

    /// Starts a new period in which `in_use` slots are in use.
    pub fn start_period(&mut self, in_use: u32) {
        self.previous = self.current;
        self.current = in_use;
    }
}
