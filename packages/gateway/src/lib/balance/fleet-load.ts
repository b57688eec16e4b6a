/** Counts the requests in flight at each upstream, from all instances. */
import type { UpstreamId } from "@sniperoad/core";
import type { UpstreamCount } from "../fleet/heartbeat.js";
import type { ListedUpstream } from "../model.js";
import { nameKey } from "../name-key.js";
import { expectedInFlight } from "./load-estimate.js";
import type { RemoteLoad } from "./load-estimate.js";

/** Requests in flight from the other instances. */
export interface RemoteLoads {
    /** Requests to the upstream with a key, see `nameKey`. */
    readonly inFlight: (key: number) => number;
    /** The reports of which they are the sum. */
    readonly loads: () => readonly RemoteLoad[];
}

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
    readonly #remote: RemoteLoads;
    readonly #local = new Map<UpstreamId, number>();

    /**
     * `onChange` is called when a request of this instance begins or ends.
     */
    constructor(onChange: () => void = () => {}, remote: RemoteLoads = { inFlight: () => 0, loads: () => [] }) {
        this.#onChange = onChange;
        this.#remote = remote;
    }

    /** Counts a request until the returned function is called. */
    beginRequest(upstream: UpstreamId): () => void {
        this.#change(upstream, 1);
        return () => this.#change(upstream, -1);
    }

    /** Requests in flight as they were reported last. */
    inFlight(upstream: UpstreamId): number {
        return (this.#local.get(upstream) ?? 0) + this.#remote.inFlight(nameKey(upstream));
    }

    /** Requests in flight that are to be expected at each of the upstreams; see {@link expectedInFlight}. */
    expected(upstreams: readonly ListedUpstream[], nowMs: number, answerTimeMs: number): number[] {
        const keyed = upstreams.map(({ id, slots }) => ({ key: nameKey(id), slots }));
        return expectedInFlight(keyed, this.#remote.loads(), nowMs, answerTimeMs).map((count, index) =>
            count + (this.#local.get(upstreams[index]!.id) ?? 0)
        );
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
