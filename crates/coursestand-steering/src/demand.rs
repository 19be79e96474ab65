//! Peak demand for slots over the last one to two periods.

/// Peak number of requests in flight, waiting or refused. Covers the current and the
/// previous period, so that a peak just before the end of a period is not lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakDemand {
    current: u32,
    previous: u32,
}

impl PeakDemand {
    /// Records a demand for `wanted` slots.
    pub fn record(&mut self, wanted: u32) {
        self.current = self.current.max(wanted);
    }

    /// Returns the peak of the current and the previous period.
    pub fn peak(&self) -> u32 {
        self.current.max(self.previous)
    }

    /// Starts a new period in which `in_use` slots are in use.
    pub fn start_period(&mut self, in_use: u32) {
        self.previous = self.current;
        self.current = in_use;
    }
}
