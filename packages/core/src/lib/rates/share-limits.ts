/** Limits of each share in the current configuration, and their transition after a change. */
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

/** A recent change of an organisation's number of shares. */
export interface ShareCountChange {
    /** Shares below this index exist before and after the change; the others start empty. */
    readonly keptShares: number;
    /** Limit of the kept shares while other coordinators may still use the previous configuration. */
    readonly transitionLimit: TokenBucketLimit | undefined;
    /** Time by which all coordinators have adopted the change. */
    readonly untilMs: number;
    /** Time at which a bucket that started empty at `untilMs` is full, after which the change no longer matters. */
    readonly expiresAtMs: number;
}

/** Notified of each organisation whose rate, burst or existence changes. */
export interface ShareLimitListener {
    /** Called while the previous configuration is still in force. */
    beforeChange(organisation: OrganisationLimit): void;
    /** Called when the new configuration is in force. `next` is undefined if the organisation was removed. */
    afterChange(id: OrganisationId, next: OrganisationLimit | undefined): void;
}

/**
 * Limits of the organisations in the current configuration. Recent changes of the number of shares are kept for a
 * while: a new share must not be filled while the coordinators of the other shares may still use the previous
 * configuration.
 */
export class ShareLimits {
    readonly #context: InstanceContext;
    readonly #options: RateOptions;
    readonly #shareCountChanges = new Map<OrganisationId, ShareCountChange>();
    readonly #listeners: ShareLimitListener[] = [];
    #index: ReadonlyMap<OrganisationId, OrganisationLimit> = new Map();
    #firstConfigAtMs: number | undefined;

    constructor(context: InstanceContext, options: RateOptions) {
        this.#context = context;
        this.#options = options;
        const current = context.config.current();
        if (current !== undefined) {
            this.#applyConfig(current);
        }
        context.config.onChange(next => this.#applyConfig(next));
    }

    get(organisation: OrganisationId): OrganisationLimit | undefined {
        return this.#index.get(organisation);
    }

    shareCountChange(organisation: OrganisationId): ShareCountChange | undefined {
        return this.#shareCountChanges.get(organisation);
    }

    /**
     * Time from which no coordinator uses a configuration older than this instance's first one. Until then, another
     * coordinator may count with another number of shares. Undefined without a configuration.
     */
    shareCountsKnownAtMs(): number | undefined {
        return this.#firstConfigAtMs === undefined ? undefined : this.#firstConfigAtMs + this.#options.currentWindowMs;
    }

    onChange(listener: ShareLimitListener): void {
        this.#listeners.push(listener);
    }

    #applyConfig(config: FleetConfig): void {
        const nowMs = this.#context.clock.monotonicMs();
        const previous = this.#index;
        const isFirst = this.#firstConfigAtMs === undefined;
        const index = indexOrganisations(config);
        this.#firstConfigAtMs ??= nowMs;
        if (isFirst) {
            this.#index = index;
            return;
        }
        const changed = [...index.values()].filter(next => !isSame(previous.get(next.id), next));
        const removed = [...previous.values()].filter(former => !index.has(former.id));
        const former = [...changed.map(next => previous.get(next.id)), ...removed].filter(entry => entry !== undefined);
        former.forEach(entry => this.#listeners.forEach(listener => listener.beforeChange(entry)));
        this.#index = index;
        this.#removeExpiredChanges(nowMs);
        for (const next of changed) {
            this.#recordShareCountChange(previous.get(next.id), next, nowMs);
            this.#listeners.forEach(listener => listener.afterChange(next.id, next));
        }
        removed.forEach(({ id }) => this.#listeners.forEach(listener => listener.afterChange(id, undefined)));
    }

    #removeExpiredChanges(nowMs: number): void {
        for (const [id, change] of this.#shareCountChanges) {
            if (change.expiresAtMs <= nowMs) {
                this.#shareCountChanges.delete(id);
            }
        }
    }

    #recordShareCountChange(former: OrganisationLimit | undefined, next: OrganisationLimit, nowMs: number): void {
        const formerShares = former === undefined ? 0 : shareCount(former);
        const nextShares = shareCount(next);
        const earlier = this.#shareCountChanges.get(next.id);
        if (formerShares === nextShares && earlier === undefined) {
            return;
        }
        const { currentWindowMs, batchTtlMs } = this.#options;
        const isWithinEarlier = earlier !== undefined && nowMs < earlier.untilMs;
        // A new organisation has no coordinators with a previous configuration. Only tokens granted before an earlier
        // removal of the organisation can still be in use.
        const waitMs = formerShares === 0 ? 2 * batchTtlMs : currentWindowMs;
        const untilMs = formerShares === nextShares ? earlier!.untilMs : nowMs + waitMs;
        // Of three shares, the last one has the smallest burst.
        const limits = [former, next].filter(entry => entry !== undefined).map(entry => shareLimit(entry, 2));
        const transitionLimit = [
            ...limits,
            ...(isWithinEarlier && earlier.transitionLimit !== undefined ? [earlier.transitionLimit] : []),
        ]
            .reduce(stricterLimit);
        this.#shareCountChanges.set(next.id, {
            keptShares: Math.min(formerShares, nextShares, earlier?.keptShares ?? formerShares),
            transitionLimit,
            untilMs: Math.max(untilMs, isWithinEarlier ? earlier.untilMs : 0),
            expiresAtMs: untilMs + next.burst * 1_000 * nextShares / next.ratePerSecond,
        });
    }
}

const isSame = (left: OrganisationLimit | undefined, right: OrganisationLimit): boolean =>
    left !== undefined && left.ratePerSecond === right.ratePerSecond && left.burst === right.burst;
