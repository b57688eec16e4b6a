/** Requests in flight at each upstream, from all instances. */
import type { InstanceId, UpstreamId } from "@sniperoad/core";
import type { ReportedInFlight } from "../fleet/beat.js";

/**
 * Adds what this instance has in flight to what the others last reported.
 *
 * @example
 * const done = load.begin(upstream);
 * load.inFlight(upstream); // 1
 * done();
 */
export class FleetLoad {
    readonly #own = new Map<UpstreamId, number>();
    readonly #others = new Map<UpstreamId, number>();
    readonly #reports = new Map<InstanceId, readonly ReportedInFlight[]>();

    /** Counts a request until the returned function is called. */
    begin(upstream: UpstreamId): () => void {
        add(this.#own, upstream, 1);
        return () => add(this.#own, upstream, -1);
    }

    inFlight(upstream: UpstreamId): number {
        return (this.#own.get(upstream) ?? 0) + (this.#others.get(upstream) ?? 0);
    }

    /** Requests of this instance alone. */
    own(): ReportedInFlight[] {
        return [...this.#own].map(([upstream, count]) => ({ upstream, count }));
    }

    ownTotal(): number {
        return [...this.#own.values()].reduce((sum, count) => sum + count, 0);
    }

    noteReport(from: InstanceId, report: readonly ReportedInFlight[]): void {
        this.#reports.get(from)?.forEach(({ upstream, count }) => add(this.#others, upstream, -count));
        report.forEach(({ upstream, count }) => add(this.#others, upstream, count));
        this.#reports.set(from, report);
    }

    /** Forgets the reports of instances that are no longer heard. */
    retain(isHeard: (instance: InstanceId) => boolean): void {
        for (const instance of [...this.#reports.keys()].filter(reporter => !isHeard(reporter))) {
            this.noteReport(instance, []);
            this.#reports.delete(instance);
        }
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
