//! Parts of the state dump that several services share.

use coursestand_catalog::Catalog;
use serde_json::{Value, json};

/// Returns the zones that were ever evacuated, with their state and the change that set it.
pub fn evacuations(catalog: &Catalog) -> Vec<Value> {
    catalog
        .evacuations()
        .map(|(zone, evacuation)| {
            json!({
                "zone": zone,
                "is_active": evacuation.is_active,
                "changed_at_index": evacuation.changed,
            })
        })
        .collect()
}
