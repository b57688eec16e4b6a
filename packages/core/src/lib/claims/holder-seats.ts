/** Determines which seats hold the claims of a key, and since when. */
import type { Roster, Seat } from "../membership.js";
import type { Sha256 } from "../ports.js";
import { rankSeats } from "../rendezvous.js";
import type { IdempotencyKey, OrganisationId, ZoneId } from "../types.js";

/** Number of seats that hold each claim; fewer if the roster has fewer. */
export const holdersPerClaim = 3;

/**
 * The seats that hold the claim of a key, by rendezvous rank: the first seat of each zone, then further seats if there
 * are too few zones. A pure function of the roster, because a holder also evaluates it for earlier rosters.
 */
export const holderSeats = (roster: Roster, organisation: OrganisationId, key: IdempotencyKey): readonly Seat[] => {
    const ranked = rankSeats(roster.seats, `claim/${organisation}/${key}`);
    const zones = new Set<ZoneId | undefined>();
    const firstOfZones: Seat[] = [];
    const others: Seat[] = [];
    for (const seat of ranked) {
        if (zones.has(seat.zone)) {
            others.push(seat);
            continue;
        }
        zones.add(seat.zone);
        firstOfZones.push(seat);
    }
    return [...firstOfZones, ...others].slice(0, holdersPerClaim);
};

/** Canonical string of a set of seats, for comparison. */
export const seatSetKey = (seats: readonly Seat[]): string => seats.map(seat => seat.id).sort().join(" ");

/** Hash of the inputs of {@link holderSeats}: the seats and their zones, but not their holders. */
export const layoutOf = (roster: Roster, sha256: Sha256): string =>
    sha256(roster.seats.map(seat => `${seat.id}@${seat.zone ?? ""}`).join(" ")).slice(0, 32);

interface Layout {
    readonly hash: string;
    readonly roster: Roster;
    /** Wall-clock time at which a quorum of seats was known to have this layout. */
    establishedAtMs: number | undefined;
}

/** Maximum number of layouts in the history. A fleet of 64 seats goes through fewer while its roster fills. */
const maxLayouts = 80;

/**
 * History of the layouts that this instance has observed. When a seat gets a holder in another zone, the holder seats
 * of some keys change. For these keys no records count as complete until a quorum has the new layout, because holders
 * of the former layout may act until then.
 */
export class LayoutHistory {
    readonly #sha256: Sha256;
    #layouts: Layout[] = [];

    constructor(sha256: Sha256) {
        this.#sha256 = sha256;
    }

    /** Hash of the newest layout; empty before the first roster. */
    get hash(): string {
        return this.#layouts.at(-1)?.hash ?? "";
    }

    get isEstablished(): boolean {
        return this.#layouts.at(-1)?.establishedAtMs !== undefined;
    }

    /** When the first known layout was established; undefined until a layout is. */
    get firstEstablishedAtMs(): number | undefined {
        return this.#layouts.find(layout => layout.establishedAtMs !== undefined)?.establishedAtMs;
    }

    /** When the last layout change was established: -Infinity without a change, undefined while it is pending. */
    get lastChangeAtMs(): number | undefined {
        return this.#layouts.length > 1 ? this.#layouts.at(-1)!.establishedAtMs : -Infinity;
    }

    /** Adds the layout of a roster. Returns false if the history was full and had to be restarted. */
    observe(roster: Roster): boolean {
        const hash = layoutOf(roster, this.#sha256);
        if (hash === this.hash) {
            return true;
        }
        const isFull = this.#layouts.length >= maxLayouts;
        this.#layouts = isFull ? [] : this.#layouts;
        this.#layouts.push({ hash, roster, establishedAtMs: undefined });
        return !isFull;
    }

    establish(atMs: number): void {
        const newest = this.#layouts.at(-1);
        if (newest !== undefined) {
            newest.establishedAtMs ??= atMs;
        }
    }

    /** Removes layouts that were superseded before `beforeMs`. */
    prune(beforeMs: number): void {
        const firstRetained = this.#layouts.findLastIndex(layout => (layout.establishedAtMs ?? Infinity) < beforeMs);
        if (firstRetained > 0) {
            this.#layouts = this.#layouts.slice(firstRetained);
        }
    }

    /**
     * Time since which a key has had its current holder seats: -Infinity if every retained layout has them, undefined
     * if no layout that has them is established.
     */
    sameSeatsSince(organisation: OrganisationId, key: IdempotencyKey): number | undefined {
        if (this.#layouts.length < 2) {
            return -Infinity;
        }
        const sets = this.#layouts.map(layout => seatSetKey(holderSeats(layout.roster, organisation, key)));
        const lastDifferent = sets.findLastIndex(set => set !== sets.at(-1));
        return lastDifferent < 0
            ? -Infinity
            : this.#layouts.slice(lastDifferent + 1).find(layout => layout.establishedAtMs !== undefined)
                ?.establishedAtMs;
    }
}
