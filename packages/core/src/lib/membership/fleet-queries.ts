/** Queries about the fleet, computed from the state of one instance. */
import type { Clock } from "../ports.js";
import { hash32 } from "../rendezvous.js";
import type { InstanceId } from "../types.js";
import type { DirectoryMember } from "./directory.js";
import type { FleetState } from "./fleet-state.js";
import type { PeerState } from "./peer-table.js";
import type { MembershipSettings } from "./settings.js";

/** Whether an instance is considered dead: it sends no heartbeats and is absent from the platform's list. */
export type IsDead = (instance: InstanceId) => boolean;

/** Peers with a recent heartbeat that are not leaving. */
export const livePeers = (state: FleetState, settings: MembershipSettings, nowMs: number): readonly PeerState[] =>
    [...state.peers.all()].filter(peer => nowMs - peer.receivedMs < settings.currentWindowMs && !peer.isLeaving);

/** This instance's rank among the pollers of the current rotation, by rendezvous hashing; undefined for non-pollers. */
export const pollerRank = (state: FleetState, settings: MembershipSettings, clock: Clock): number | undefined => {
    const rotation = Math.floor(clock.now().getTime() / settings.pollerRotationMs);
    const weight = (instance: InstanceId) => hash32(`${rotation}|${instance}`);
    const own = weight(state.self);
    const rank = livePeers(state, settings, clock.monotonicMs()).filter(peer => weight(peer.id) > own).length;
    return rank < settings.pollerCount ? rank : undefined;
};

/**
 * Whether this instance has two-way contact with at least half of the holders that may act. Without this contact, a
 * seat that the instance takes would be excluded and vacated, repeatedly.
 */
export const isConnected = (
    state: FleetState,
    settings: MembershipSettings,
    nowMs: number,
    isDead: IsDead,
): boolean => {
    const holders = (state.roster?.seats ?? []).flatMap(({ holder }, index) =>
        holder === undefined || state.excludedSinceMs(index, nowMs) !== undefined || isDead(holder) ? [] : [holder]
    );
    const inContact = holders.filter(holder =>
        nowMs - (state.peers.get(holder)?.contactMs ?? -Infinity) < settings.leaseMs
    );
    return 2 * inContact.length >= holders.length;
};

/** Seats whose holder is dead or has been excluded for `vacateAfterMs`. */
export const vacatableSeats = (
    state: FleetState,
    settings: MembershipSettings,
    nowMs: number,
    isDead: IsDead,
): readonly number[] =>
    (state.roster?.seats ?? []).flatMap(({ holder }, index) => {
        if (holder === undefined || holder === state.self) {
            return [];
        }
        const sinceMs = state.excludedSinceMs(index, nowMs) ?? Infinity;
        return nowMs - sinceMs >= settings.vacateAfterMs || isDead(holder) ? [index] : [];
    });

/** Converts peers to directory members. */
export const directoryMembers = (peers: readonly PeerState[]): readonly DirectoryMember[] =>
    peers.flatMap(({ info, load, isLeaving, isStale }) =>
        info === undefined ? [] : [{ address: info.address, zone: info.zone, load, isLeaving, isCurrent: !isStale }]
    );

/** Comma-separated ids of the excluded seats that have a holder, for the log. */
export const excludedSeats = (state: FleetState, nowMs: number): string =>
    (state.roster?.seats ?? [])
        .filter((seat, index) => seat.holder !== undefined && state.excludedSinceMs(index, nowMs) !== undefined)
        .map(seat => seat.id)
        .join(",");
