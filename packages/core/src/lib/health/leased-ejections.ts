/** Ejections of one service that an instance applies, each with a lease. */
import { type Decisions, type Ejection, targetKey } from "./messages.js";

interface LeasedEjection {
    readonly ejection: Ejection;
    readonly term: string;
    /** Time at which this instance sent the last digest that was answered with this ejection. */
    readonly confirmedMs: number;
}

/** Holds the unexpired decisions of all coordinators. After a change of coordinator there may be two. */
export class LeasedEjections {
    readonly #leaseMs: number;
    readonly #leased = new Map<string, LeasedEjection>();
    readonly #versions = new Map<string, number>();

    constructor(leaseMs: number) {
        this.#leaseMs = leaseMs;
    }

    /**
     * Applies the decisions of a coordinator, unless newer ones of the same term were applied before.
     *
     * @param sentMs Time at which this instance sent the digest that the coordinator answered. Leases count from then:
     * counted from the arrival, the lease of a delayed message would outlast the coordinator's term.
     */
    accept(decisions: Decisions, sentMs: number): void {
        const { term, version, ejections } = decisions;
        if (version < (this.#versions.get(term) ?? 0)) {
            return;
        }
        if (!this.#versions.has(term) && this.#versions.size >= 8) {
            this.#versions.delete(this.#versions.keys().next().value!);
        }
        this.#versions.set(term, version);
        const received = new Set(ejections.map(targetKey));
        for (const [key, leased] of this.#leased) {
            if (leased.term === term && !received.has(key)) {
                this.#leased.delete(key);
            }
        }
        for (const ejection of ejections) {
            const key = targetKey(ejection);
            const confirmedMs = Math.max(sentMs, this.#leased.get(key)?.confirmedMs ?? -Infinity);
            this.#leased.set(key, { ejection, term, confirmedMs });
        }
    }

    /** Unexpired ejections that were confirmed since the given time. */
    unexpired(nowMs: number, sinceMs = -Infinity): readonly Ejection[] {
        for (const [key, { confirmedMs }] of this.#leased) {
            if (confirmedMs + this.#leaseMs <= nowMs) {
                this.#leased.delete(key);
            }
        }
        return [...this.#leased.values()]
            .filter(({ confirmedMs }) => confirmedMs >= sinceMs)
            .map(({ ejection }) => ejection);
    }
}
