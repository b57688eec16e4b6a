/** Counts the requests in flight at each upstream, from all instances. */
import type { UpstreamId } from "@sniperoad/core";
import type { UpstreamCount } from "../fleet/heartbeat.js";
import { nameKey } from "../name-key.js";

/**
 * Adds the requests in flight from this instance to those of the others.
 *
 * @example
 * const end = load.beginRequest(upstream);
 * load.inFlight(upstream); // 1
 * end();
 */
export class FleetLoad {
    readonly #onChange: () => void;
    readonly #remoteInFlight: (key: number) => number;
    readonly #local = new Map<UpstreamId, number>();

    /**
     * `onChange` is called when a request of this instance begins or ends. `remoteInFlight` returns the requests in
     * flight from other instances to the upstream with a key, see `nameKey`.
     */
    constructor(onChange: () => void = () => {}, remoteInFlight: (key: number) => number = () => 0) {
        this.#onChange = onChange;
        this.#remoteInFlight = remoteInFlight;
    }

    /** Counts a request until the returned function is called. */
    beginRequest(upstream: UpstreamId): () => void {
        this.#change(upstream, 1);
        return () => this.#change(upstream, -1);
    }

    inFlight(upstream: UpstreamId): number {
        return (this.#local.get(upstream) ?? 0) + this.#remoteInFlight(nameKey(upstream));
    }

    /** Requests of this instance only, for its heartbeats. */
    report(): readonly UpstreamCount[] {
        return [...this.#local].map(([upstream, count]) => ({ upstream, count }));
    }

    localInFlight(): number {
        return [...this.#local.values()].reduce((sum, count) => sum + count, 0);
    }

    #change(upstream: UpstreamId, change: number): void {
        add(this.#local, upstream, change);
        this.#onChange();
    }
}

const add = (counts: Map<UpstreamId, number>, upstream: UpstreamId, change: number): void => {
    const count = (counts.get(upstream) ?? 0) + change;
    if (count <= 0) {
        counts.delete(upstream);
    }
    else {
        counts.set(upstream, count);
    }
};
