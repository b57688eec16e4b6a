/** Leaving: handover of the instance's seat and of its state as coordinator. */
import type { Clock, LogPort, PeerPort } from "../ports.js";
import { hash32 } from "../rendezvous.js";
import type { InstanceId } from "../types.js";
import type { FleetState } from "./fleet-state.js";
import { seatMethod, stoppedMethod } from "./messages.js";
import type { HandoverHook } from "./options.js";
import type { PeerState } from "./peer-table.js";
import type { PlatformSync } from "./platform-sync.js";
import { seatAfterHandover, seatIndexOf } from "./seats.js";
import type { MembershipSettings } from "./settings.js";

/**
 * Instances that can take over this instance's seat. They must be in its zone: the zones of the seats determine the
 * replica seats of claims, and a handover does not change the roster version, so an instance that missed it would use
 * different replica seats. The order depends on the seat, so that leaving instances choose different candidates.
 */
export const successorCandidates = (
    state: FleetState,
    settings: MembershipSettings,
    nowMs: number,
): readonly PeerState[] => {
    const zone = state.roster?.seats[state.ownIndex ?? -1]?.zone;
    const weight = (peer: PeerState) => hash32(`${state.ownIndex}|${peer.id}`);
    return [...state.peers.all()]
        .filter(peer =>
            peer.info !== undefined && peer.info.zone === zone && !peer.isLeaving
            && seatIndexOf(state.roster, peer.id) === undefined
            && nowMs - peer.contactMs < settings.currentWindowMs && peer.rosterVersion === state.roster?.version
        )
        .sort((left, right) => weight(right) - weight(left));
};

/**
 * Hands this instance's seat over to a joining instance and informs the others. The caller must have stopped acting and
 * voting. If the reply is lost, the candidate may have taken the seat, so the seat is not offered to another one.
 * Returns whether this instance is known to have no seat any more.
 */
export const handOverSeat = async (
    state: FleetState,
    settings: MembershipSettings,
    ports: { readonly clock: Clock; readonly peers: PeerPort; readonly log: LogPort; },
): Promise<boolean> => {
    const index = state.ownIndex;
    const seat = index === undefined ? undefined : state.roster?.seats[index];
    if (index === undefined || seat === undefined) {
        return true;
    }
    for (const candidate of successorCandidates(state, settings, ports.clock.monotonicMs())) {
        const next = seatAfterHandover(seat, candidate.id, candidate.info!.zone);
        if (next === undefined) {
            return false;
        }
        try {
            const offer = { index, seat: next };
            const { isAccepted } = await ports.peers.call(candidate.id, seatMethod, offer, settings.callTimeoutMs);
            if (isAccepted) {
                ports.log.event("membership.seat_handed_over", { seat: seat.id, to: candidate.id, epoch: next.epoch });
                state.acceptHandover(state.self, index, next, ports.clock.monotonicMs());
                const others = [...state.peers.all()].filter(peer => peer !== candidate);
                await Promise.allSettled(
                    others.map(peer => ports.peers.call(peer.id, seatMethod, offer, settings.callTimeoutMs)),
                );
                return true;
            }
        }
        catch {
            return false;
        }
    }
    return false;
};

/** The parts of the membership that leaving needs. */
export interface LeaveContext {
    readonly state: FleetState;
    readonly sync: PlatformSync;
    readonly settings: MembershipSettings;
    readonly ports: {
        readonly clock: Clock;
        readonly peers: PeerPort;
        readonly log: LogPort;
        readonly isActingAfterStop?: boolean | undefined;
    };
    /** Hooks called while this instance may still act; they capture their state before their first `await`. */
    readonly stopHooks: readonly HandoverHook[];
    readonly handoverHooks: readonly HandoverHook[];
    /** Called when this instance has stopped acting. */
    stopped(): void;
}

/**
 * Stops acting, hands over this instance's state and gives up its seat. If a joining instance of the zone is available,
 * it gets the seat directly, because vacating and reassigning a seat leaves the seat's keys without a coordinator for
 * one lease. Otherwise, if the platform is reachable, this instance sends a stop notice and vacates the seat on the
 * platform. It never sends a stop notice for a seat that it hands over: voters grant the epoch of a handover
 * immediately, while the notice would let the next seat act at the same roster version.
 */
export const leaveSeat = async (context: LeaveContext): Promise<void> => {
    const { state, sync, settings, ports, stopHooks, handoverHooks } = context;
    const isPlatformUnavailable = state.isPlatformUnavailable(ports.clock.monotonicMs());
    const hasSuccessor = successorCandidates(state, settings, ports.clock.monotonicMs()).length > 0;
    const isStopAnnounced = !hasSuccessor && !isPlatformUnavailable && await sync.isPlatformReachable();
    const successor = isStopAnnounced
        ? undefined
        : successorCandidates(state, settings, ports.clock.monotonicMs())[0]?.id;
    const lastSequences = new Map([...state.peers.all()].map(peer => [peer.id, peer.sequence]));
    // Called synchronously after `lastSequences` is set: the hooks capture their state while the term is valid, and
    // nothing changes it afterwards.
    const stopHooksDone = runHooks(stopHooks, successor, settings, ports);
    if (ports.isActingAfterStop !== true) {
        state.stopActing();
    }
    context.stopped();
    // The next coordinator must receive its state before the stop notice allows it to act.
    await stopHooksDone;
    const stopNotified = isStopAnnounced ? notifyStopped(context, lastSequences) : undefined;
    await runHooks(handoverHooks, successor, settings, ports);
    // Voting stops before the seat has another holder, which does not vote until these votes have expired.
    state.stopVoting();
    // After its stop notice, a holder must not hand over the seat, even if the platform has become unavailable.
    const isSeatReleased = state.ownIndex === undefined
        || (!isStopAnnounced && await handOverSeat(state, settings, ports))
        || (!isPlatformUnavailable && await sync.vacateOwn());
    if (!isSeatReleased) {
        ports.log.event("membership.seat_kept", { remedy: "peers exclude the seat after a lease" });
    }
    await stopNotified;
};

/** Sends the stop notice to all peers, twice to those that do not acknowledge the first one. */
const notifyStopped = async (
    { state, settings, ports }: LeaveContext,
    lastSequences: ReadonlyMap<InstanceId, number>,
): Promise<void> => {
    const notice = state.composeStop();
    if (notice === undefined) {
        return;
    }
    const send = (to: InstanceId) => {
        const sequence = lastSequences.get(to) ?? -1;
        const body = sequence < 0 ? notice : { ...notice, lastHeard: sequence };
        return ports.peers.call(to, stoppedMethod, body, settings.callTimeoutMs);
    };
    const peers = [...state.peers.all()].map(peer => peer.id);
    const results = await Promise.allSettled(peers.map(to => send(to).catch(() => send(to))));
    const acknowledged = results.filter(result => result.status === "fulfilled").length;
    ports.log.event("membership.stopped", { ...notice, acknowledged, peers: peers.length });
};

/**
 * Runs the hooks concurrently and waits for them, but no longer than `handoverTimeoutMs`. A hook that fails or hangs
 * must not prevent the instance from leaving.
 */
export const runHooks = async (
    hooks: readonly HandoverHook[],
    successor: InstanceId | undefined,
    settings: MembershipSettings,
    { clock, log }: { readonly clock: Clock; readonly log: LogPort; },
): Promise<void> => {
    const running = hooks.map(hook =>
        hook(successor).catch((error: unknown) => {
            log.event("membership.handover_failed", { reason: String(error) });
        })
    );
    await new Promise<void>(resolve => {
        const timer = clock.after(settings.handoverTimeoutMs, () => {
            log.event("membership.handover_late", { afterMs: settings.handoverTimeoutMs });
            resolve();
        });
        void Promise.all(running).then(() => {
            timer.cancel();
            resolve();
        });
    });
};
