/** Rendezvous hashing of keys to seats. */
import type { Seat } from "./membership.js";

/** 32-bit FNV-1a with a finalizer. It is fast and distributes keys evenly enough over seats. */
export const hash32 = (text: string): number => {
    let hash = 0x811C9DC5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85EBCA6B);
    hash = Math.imul(hash ^ (hash >>> 13), 0xC2B2AE35);
    return (hash ^ (hash >>> 16)) >>> 0;
};

/**
 * Ranks the seats for a key. The order depends only on the seat ids and the key, so a change of holder moves no key.
 *
 * @example
 * const coordinator = rankSeats(roster.seats, "rate/org-1/0")[0];
 */
export const rankSeats = (seats: readonly Seat[], key: string): readonly Seat[] =>
    seats
        .map(seat => ({ seat, weight: hash32(`${key}|${seat.id}`) }))
        .sort((left, right) => right.weight - left.weight || (left.seat.id < right.seat.id ? -1 : 1))
        .map(entry => entry.seat);
