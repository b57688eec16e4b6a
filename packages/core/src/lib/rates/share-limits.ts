/** What the configuration entitles each share to, with the care that changes of it need. */
import type { FleetConfig } from "../config.js";
import type { InstanceContext } from "../context.js";
import type { OrganisationId } from "../types.js";
import {
    type OrganisationLimit,
    type RateOptions,
    shareCount,
    shareLimit,
    stricterLimit,
    type TokenBucketLimit,
} from "./options.js";
import { indexOrganisations } from "./organisation-index.js";

/** A recent change of the number of shares of an organisation. */
export interface ShareCountChange {
    /** Shares below this number exist before and after; the others start empty. */
    readonly keptShares: number;
    /** Entitlement of the kept shares while other homes may still act on the former configuration. */
    readonly limit: TokenBucketLimit | undefined;
    /** When all homes have adopted the change. */
    readonly untilMs: number;
    /** When a bucket that started empty at `untilMs` is full, so that the move no longer matters. */
    readonly forgetAtMs: number;
}

/** Told of each organisation whose rate, burst or existence changes. */
export interface ShareLimitListener {
    /** Called while the former configuration still counts. */
    beforeChange(organisation: OrganisationLimit): void;
    /** Called once the new one counts; undefined: the organisation was removed. */
    afterChange(id: OrganisationId, next: OrganisationLimit | undefined): void;
}

/**
 * An index of the organisations of the configuration in force. It remembers for a while which organisations changed
 * their number of shares, since a share that is new must not be filled while the homes of the others may still act on
 * the former configuration.
 */
export class ShareLimits {
    readonly #context: InstanceContext;
    readonly #options: RateOptions;
    readonly #moves = new Map<OrganisationId, ShareCountChange>();
    readonly #listeners: ShareLimitListener[] = [];
    #index: ReadonlyMap<OrganisationId, OrganisationLimit> = new Map();
    #firstAtMs: number | undefined;

    constructor(context: InstanceContext, options: RateOptions) {
        this.#context = context;
        this.#options = options;
        const current = context.config.current();
        if (current !== undefined) {
            this.#adopt(current);
        }
        context.config.onChange(next => this.#adopt(next));
    }

    get(organisation: OrganisationId): OrganisationLimit | undefined {
        return this.#index.get(organisation);
    }

    move(organisation: OrganisationId): ShareCountChange | undefined {
        return this.#moves.get(organisation);
    }

    /**
     * Time before which this instance cannot know whether its first configuration had changed the shares just before.
     * Undefined until there is a configuration.
     */
    knownFromMs(): number | undefined {
        return this.#firstAtMs === undefined ? undefined : this.#firstAtMs + this.#options.currentWindowMs;
    }

    onChange(listener: ShareLimitListener): void {
        this.#listeners.push(listener);
    }

    #adopt(config: FleetConfig): void {
        const nowMs = this.#context.clock.monotonicMs();
        const previous = this.#index;
        const isFirst = this.#firstAtMs === undefined;
        const index = indexOrganisations(config);
        this.#firstAtMs ??= nowMs;
        if (isFirst) {
            this.#index = index;
            return;
        }
        const changed = [...index.values()].filter(next => !isSame(previous.get(next.id), next));
        const removed = [...previous.values()].filter(former => !index.has(former.id));
        const former = [...changed.map(next => previous.get(next.id)), ...removed].filter(entry => entry !== undefined);
        former.forEach(entry => this.#listeners.forEach(listener => listener.beforeChange(entry)));
        this.#index = index;
        this.#forgetMoves(nowMs);
        for (const next of changed) {
            this.#recordMove(previous.get(next.id), next, nowMs);
            this.#listeners.forEach(listener => listener.afterChange(next.id, next));
        }
        removed.forEach(({ id }) => this.#listeners.forEach(listener => listener.afterChange(id, undefined)));
    }

    #forgetMoves(nowMs: number): void {
        for (const [id, move] of this.#moves) {
            if (move.forgetAtMs <= nowMs) {
                this.#moves.delete(id);
            }
        }
    }

    #recordMove(former: OrganisationLimit | undefined, next: OrganisationLimit, nowMs: number): void {
        const formerShares = former === undefined ? 0 : shareCount(former);
        const nextShares = shareCount(next);
        const earlier = this.#moves.get(next.id);
        if (formerShares === nextShares && earlier === undefined) {
            return;
        }
        const { currentWindowMs, batchTtlMs } = this.#options;
        const isOpen = earlier !== undefined && nowMs < earlier.untilMs;
        // A new organisation has no homes that act on a former configuration; only batches drawn before it was removed
        // can still be out.
        const waitMs = formerShares === 0 ? 2 * batchTtlMs : currentWindowMs;
        const untilMs = formerShares === nextShares ? earlier!.untilMs : nowMs + waitMs;
        const limits = [former, next].filter(entry => entry !== undefined).map(entry => shareLimit(entry, 2));
        const limit = [...limits, ...(isOpen && earlier.limit !== undefined ? [earlier.limit] : [])]
            .reduce(stricterLimit);
        this.#moves.set(next.id, {
            keptShares: Math.min(formerShares, nextShares, earlier?.keptShares ?? formerShares),
            limit,
            untilMs: Math.max(untilMs, isOpen ? earlier.untilMs : 0),
            forgetAtMs: untilMs + next.burst * 1_000 * nextShares / next.ratePerSecond,
        });
    }
}

const isSame = (left: OrganisationLimit | undefined, right: OrganisationLimit): boolean =>
    left !== undefined && left.ratePerSecond === right.ratePerSecond && left.burst === right.burst;
