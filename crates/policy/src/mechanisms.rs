//! The `mechanisms` module selects which mechanisms take part in decisions, so that what
//! each of them is worth can be measured by leaving it out; see
//! `docs/design/decisions-under-load.md`.

use serde::Deserialize;

/// `Mechanisms` names the mechanisms that are in use; by default, all are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mechanisms {
    /// Hosts with queued requests take an engine's free capacity in turn.
    pub turns: bool,
    /// Hosts prefer different engines among equal ones.
    pub preferences: bool,
    /// Hosts prefer the engines of their group, whose load they know best.
    pub groups: bool,
    /// Requests that have missed their target leave capacity to other hosts' requests that
    /// have not.
    pub late_yields: bool,
    /// Requests that cannot be placed in time are rejected on arrival.
    pub early_rejection: bool,
    /// Engines that refuse a request for lack of capacity get none for a while.
    pub full_pause: bool,
    /// Engines that fail get less work.
    pub failure_penalty: bool,
    /// Engines change their role with the demand.
    pub role_changes: bool,
    /// Streams go on at another engine when theirs breaks.
    pub resumption: bool,
    /// Requests are forwarded by hosts that cannot reach the servers.
    pub forwarding: bool,
}

impl Mechanisms {
    /// Returns all mechanisms but those in `names`, which are spelled as in a settings file.
    /// An error is the first name that there is no mechanism of.
    pub fn without(names: &[String]) -> Result<Mechanisms, String> {
        let mut mechanisms = Mechanisms::default();
        for name in names {
            let mechanism = match name.as_str() {
                "turns" => &mut mechanisms.turns,
                "preferences" => &mut mechanisms.preferences,
                "groups" => &mut mechanisms.groups,
                "late_yields" => &mut mechanisms.late_yields,
                "early_rejection" => &mut mechanisms.early_rejection,
                "full_pause" => &mut mechanisms.full_pause,
                "failure_penalty" => &mut mechanisms.failure_penalty,
                "role_changes" => &mut mechanisms.role_changes,
                "resumption" => &mut mechanisms.resumption,
                "forwarding" => &mut mechanisms.forwarding,
                _ => return Err(name.clone()),
            };
            *mechanism = false;
        }
        Ok(mechanisms)
    }
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            turns: true,
            preferences: true,
            groups: true,
            late_yields: true,
            early_rejection: true,
            full_pause: true,
            failure_penalty: true,
            role_changes: true,
            resumption: true,
            forwarding: true,
        }
    }
}
