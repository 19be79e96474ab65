//! Fencing of orders: an order of an operator takes effect only if nothing that it concerns was
//! ordered after the point of the log at which its caller was last known to wait.
//!
//! An operator that gets no answer gives up, orders the same at another process, and may later
//! order the opposite. A process that was suspended, a message that was held up, or a new leader
//! must not then carry out the first order. So the process that reads an order notes an index of
//! the committed log, checks that the caller still waits, and proposes the order with that index
//! as its fence. Whatever the operator orders after it gave up is proposed later than the check, so
//! it has a higher index. The leader compares before it appends the entry: entries that precede
//! it in the leader's log are exactly those that precede it wherever it is committed.
//!
//! The fence is not part of the entry, so processes without fencing apply the same entries to the
//! same state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use coursestand_catalog::{Catalog, Item, ItemKey, Patch, RouteTarget};
use coursestand_model::ZoneId;

use crate::command::Command;

/// Index of an entry of the replicated log.
pub type OrderIndex = u64;

/// An index of the committed log: the order may follow no order at a higher index that concerns
/// the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderFence(pub OrderIndex);

/// A part of the catalog that an order reads or changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderScope {
    /// The evacuation of a zone.
    Zone(ZoneId),
    /// An item.
    Item(ItemKey),
}

/// Returns the parts of the catalog that a command changes; none for commands that are not orders
/// for the catalog.
fn changed_scopes(command: &Command) -> Vec<OrderScope> {
    match command {
        Command::Evacuate { zone, .. } => vec![OrderScope::Zone(zone.clone())],
        Command::PatchCatalog(patch) => {
            let upserted = patch.upserts.iter().map(|upsert| &upsert.key);
            let removed = patch.removals.iter().map(|removal| &removal.key);
            let items = upserted.chain(removed).cloned();
            items.map(OrderScope::Item).collect()
        }
        _ => Vec::new(),
    }
}

/// Returns the parts of the catalog that decide whether a command is valid, besides those that it
/// changes: the services to which its routes refer.
fn read_scopes(command: &Command) -> Vec<OrderScope> {
    let Command::PatchCatalog(Patch { upserts, .. }) = command else {
        return Vec::new();
    };
    let targets = upserts.iter().filter_map(|upsert| match &upsert.item {
        Item::Route(route) => Some(&route.target),
        _ => None,
    });
    let services = targets.flat_map(RouteTarget::services);
    let keys = services.map(|(service, _)| ItemKey::Service(service.clone()));
    keys.map(OrderScope::Item).collect()
}

/// An order in the log that is not applied yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    index: OrderIndex,
    changes: BTreeSet<OrderScope>,
}

/// When each part of the catalog was last ordered, as one replica knows it.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    /// The last order for each zone among the applied entries, also if it changed nothing: an
    /// operator that repeats an order means it to hold against earlier ones.
    zones: BTreeMap<ZoneId, OrderIndex>,
    /// Orders for zones up to this index are unknown: a snapshot replaced their entries.
    unknown_up_to: OrderIndex,
    /// Orders that this replica appended as the leader of `term`, and has not applied.
    pending: VecDeque<PendingOrder>,
    term: u64,
}

impl OrderHistory {
    /// Returns the history of a replica that starts with a snapshot up to `snapshot_index`.
    pub fn after_snapshot(snapshot_index: OrderIndex) -> OrderHistory {
        OrderHistory {
            unknown_up_to: snapshot_index,
            ..OrderHistory::default()
        }
    }

    /// Records a command that this replica appended at `index` as the leader of `term`.
    pub fn note_appended(&mut self, term: u64, index: OrderIndex, command: &Command) {
        self.drop_other_terms(term);
        let changes: BTreeSet<OrderScope> = changed_scopes(command).into_iter().collect();
        if !changes.is_empty() {
            self.pending.push_back(PendingOrder { index, changes });
        }
    }

    /// Records the command at `index` as applied.
    pub fn note_applied(&mut self, index: OrderIndex, command: &Command) {
        while self
            .pending
            .front()
            .is_some_and(|order| order.index <= index)
        {
            self.pending.pop_front();
        }
        if let Command::Evacuate { zone, .. } = command {
            self.zones.insert(zone.clone(), index);
        }
    }

    /// Returns whether the leader of `term` may append the command: whether nothing that it
    /// concerns was ordered after `fence`. `catalog` is the applied catalog, which must include
    /// all entries of earlier terms.
    pub fn permits(
        &mut self,
        term: u64,
        command: &Command,
        fence: OrderFence,
        catalog: &Catalog,
    ) -> bool {
        self.drop_other_terms(term);
        let mut scopes = changed_scopes(command);
        scopes.extend(read_scopes(command));
        scopes.iter().all(|scope| {
            let is_pending = |order: &PendingOrder| order.changes.contains(scope);
            self.last_applied(scope, catalog) <= fence.0 && !self.pending.iter().any(is_pending)
        })
    }

    /// Orders of an earlier term are applied or were replaced by another leader's.
    fn drop_other_terms(&mut self, term: u64) {
        if self.term != term {
            self.pending.clear();
            self.term = term;
        }
    }

    fn last_applied(&self, scope: &OrderScope, catalog: &Catalog) -> OrderIndex {
        match scope {
            OrderScope::Zone(zone) => self.zones.get(zone).copied().unwrap_or(self.unknown_up_to),
            OrderScope::Item(key) => catalog.changed_at(key),
        }
    }
}
