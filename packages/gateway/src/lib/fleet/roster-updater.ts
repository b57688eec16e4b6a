/** Applies what heartbeats and digests state about instances to the roster. */
import type { LogPort } from "@sniperoad/core";
import type { GatewayInstance } from "../model.js";
import type { SharedCollection } from "../store/state-messages.js";
import type { ZoneDigest } from "./digest.js";
import type { FleetExchangeOptions } from "./fleet-exchange.js";
import type { MemberState, Roster } from "./roster.js";

/**
 * Records which instances are live, what they hold and which of them read from the store.
 *
 * @example
 * updater.recordHeard(key, info, heartbeat, 0);
 */
export class RosterUpdater {
    readonly #roster: Roster;
    readonly #log: LogPort;
    readonly #onRevision: FleetExchangeOptions["onRevision"];

    constructor({ roster, log, onRevision }: Pick<FleetExchangeOptions, "roster" | "log" | "onRevision">) {
        this.#roster = roster;
        this.#log = log;
        this.#onRevision = onRevision;
    }

    /** Records that an instance was heard `ageMs` ago; `key`: see `instanceKey`. */
    recordHeard(key: number, info: GatewayInstance, state: MemberState, ageMs: number): void {
        const wasLive = this.#roster.isLive(info.peerAddress);
        this.#roster.recordHeard(key, state, ageMs);
        if (!wasLive && this.#roster.isLive(info.peerAddress)) {
            const heard = this.#roster.live().length;
            this.#log.event("instance-heard", { peer: info.id, zone: info.zone, heard });
        }
    }

    /** Records the revision, holders and readers that a digest states for a collection. */
    applyCollection(collection: SharedCollection, digest: ZoneDigest): void {
        const stated = digest[collection];
        if (stated === undefined) {
            return;
        }
        const { revision, confirmedAgeMs, holders, readers } = stated;
        holders.forEach(key => this.#roster.recordRevision(key, collection, revision));
        const states = new Map(readers.map(({ key, state }) => [key, state]));
        digest.members.forEach(({ key, ageMs }) =>
            this.#roster.recordReader(key, collection, states.get(key) ?? "idle", ageMs)
        );
        this.#onRevision(collection, revision, confirmedAgeMs);
    }
}
