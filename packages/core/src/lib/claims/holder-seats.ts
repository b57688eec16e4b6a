/** Which seats hold the claims of a key, and since when. */
import type { Roster, Seat } from "../membership.js";
import type { Sha256 } from "../ports.js";
import { rankSeats } from "../rendezvous.js";
import type { IdempotencyKey, OrganisationId, ZoneId } from "../types.js";

/** Seats that hold each claim, where the roster has that many. */
export const holdersPerClaim = 3;

/**
 * The seats that hold the claim of a key: by rank, the first of each zone, then others while zones are too few. It is a
 * pure function of the roster, because a holder must also answer it for earlier rosters.
 */
export const holderSeats = (roster: Roster, organisation: OrganisationId, key: IdempotencyKey): readonly Seat[] => {
    const ranked = rankSeats(roster.seats, `claim/${organisation}/${key}`);
    const zones = new Set<ZoneId | undefined>();
    const first: Seat[] = [];
    const rest: Seat[] = [];
    for (const seat of ranked) {
        if (zones.has(seat.zone)) {
            rest.push(seat);
            continue;
        }
        zones.add(seat.zone);
        first.push(seat);
    }
    return [...first, ...rest].slice(0, holdersPerClaim);
};

/** Seat ids of a key in a fixed order, for comparison. */
export const seatSetKey = (seats: readonly Seat[]): string => seats.map(seat => seat.id).sort().join(" ");

/** Hash of what the holder seats depend on: the seats and their zones, but not their holders. */
export const layoutOf = (roster: Roster, sha256: Sha256): string =>
    sha256(roster.seats.map(seat => `${seat.id}@${seat.zone ?? ""}`).join(" ")).slice(0, 32);

interface Layout {
    readonly tag: string;
    readonly roster: Roster;
    /** Wall time at which a quorum of seats was known to have this layout. */
    establishedAtMs: number | undefined;
}

/** More layouts than a fleet of 64 seats goes through while its roster fills. */
const maxLayouts = 80;

/**
 * The layouts that this instance has seen. A seat whose new holder is in another zone changes the holder seats of some
 * keys. For these keys nothing is vouched before a quorum has the new layout, since until then holders of the former
 * layout may act.
 */
export class LayoutHistory {
    readonly #sha256: Sha256;
    #layouts: Layout[] = [];

    constructor(sha256: Sha256) {
        this.#sha256 = sha256;
    }

    /** The newest layout; empty before the first roster. */
    get tag(): string {
        return this.#layouts.at(-1)?.tag ?? "";
    }

    get isEstablished(): boolean {
        return this.#layouts.at(-1)?.establishedAtMs !== undefined;
    }

    /** When the first known layout was established; undefined until a layout is. */
    get firstEstablishedAtMs(): number | undefined {
        return this.#layouts.find(layout => layout.establishedAtMs !== undefined)?.establishedAtMs;
    }

    /** When the last change of layout was established, -Infinity without a change, undefined while it is not. */
    get lastChangeAtMs(): number | undefined {
        return this.#layouts.length > 1 ? this.#layouts.at(-1)!.establishedAtMs : -Infinity;
    }

    /** Notes the layout of a roster. Returns false if so many layouts are kept that the history had to start again. */
    observe(roster: Roster): boolean {
        const tag = layoutOf(roster, this.#sha256);
        if (tag === this.tag) {
            return true;
        }
        const isFull = this.#layouts.length >= maxLayouts;
        this.#layouts = isFull ? [] : this.#layouts;
        this.#layouts.push({ tag, roster, establishedAtMs: undefined });
        return !isFull;
    }

    establish(atMs: number): void {
        const newest = this.#layouts.at(-1);
        if (newest !== undefined) {
            newest.establishedAtMs ??= atMs;
        }
    }

    /** Drops layouts that were superseded before `beforeMs`. */
    prune(beforeMs: number): void {
        const kept = this.#layouts.findLastIndex(layout => (layout.establishedAtMs ?? Infinity) < beforeMs);
        if (kept > 0) {
            this.#layouts = this.#layouts.slice(kept);
        }
    }

    /**
     * Since when a key has had its present holder seats: -Infinity if in all kept layouts, undefined if no layout that
     * has them is established.
     */
    sameSeatsSince(organisation: OrganisationId, key: IdempotencyKey): number | undefined {
        if (this.#layouts.length < 2) {
            return -Infinity;
        }
        const sets = this.#layouts.map(layout => seatSetKey(holderSeats(layout.roster, organisation, key)));
        const other = sets.findLastIndex(set => set !== sets.at(-1));
        return other < 0
            ? -Infinity
            : this.#layouts.slice(other + 1).find(layout => layout.establishedAtMs !== undefined)?.establishedAtMs;
    }
}
