/** Measures the cost of claims: memory and CPU time at a holder, and messages for each claim. */
import process from "node:process";
import type { AttemptId, IdempotencyKey, InstanceId, OrganisationId } from "../../types.js";
import type { ClaimHolder } from "../claim-holder.js";
import { holderSeats } from "../holder-seats.js";
import type { RecordRequest } from "../messages.js";
import { ClaimsSimulation } from "./claims-simulation.js";

/** Costs of claims. */
export interface ClaimsCost {
    /** Claims stored by all holders together. */
    readonly storedClaims: number;
    /** A lower bound, because keys and ids are shared with the generator. */
    readonly heapBytesPerClaim: number;
    readonly recordMicros: number;
    readonly resolveMicros: number;
    /** Messages of 100 claims, by method. */
    readonly messages: ReadonlyMap<string, number>;
    /** One of the requests, for its size on the wire. */
    readonly request: RecordRequest;
}

const createRequest = (simulation: ClaimsSimulation, index: number, seats: number): RecordRequest => {
    const organisation = `org-${index % 200}` as OrganisationId;
    const key = simulation.key() as IdempotencyKey;
    return {
        organisation,
        key,
        attempt: `i${index % seats}.${index}.${Math.random()}` as AttemptId,
        owner: `i${index % seats}` as InstanceId,
        fingerprint: Math.random().toString(16).padEnd(32, "0").slice(0, 32),
        view: holderSeats(simulation.roster, organisation, key).map(seat => ({ seat: seat.id, epoch: seat.epoch })),
    };
};

const heapBytes = (): number => {
    (globalThis as { gc?: () => void; }).gc?.();
    return process.memoryUsage().heapUsed;
};

const microseconds = (claims: number, work: () => void): number => {
    const start = process.cpuUsage();
    work();
    const used = process.cpuUsage(start);
    return (used.user + used.system) / claims;
};

/**
 * Records and resolves claims at the holders of a fleet with one seat for each instance.
 *
 * @example
 * (await measureClaims(30_000, 44)).recordMicros;
 */
export const measureClaims = async (claims: number, seats: number): Promise<ClaimsCost> => {
    const simulation = new ClaimsSimulation({ seats, zones: 4, seed: 1 });
    await simulation.clock.advance(15_000);
    const requests: { request: RecordRequest; holder: ClaimHolder; }[] = [];
    while (requests.length < claims) {
        const request = createRequest(simulation, requests.length, seats);
        const seat = simulation.roster.seats.find(candidate => candidate.id === request.view[0]!.seat)!;
        requests.push({ request, holder: simulation.at(seat.holder!).claims!.holder });
    }
    const beforeBytes = heapBytes();
    const recordMicros = microseconds(
        claims,
        () => requests.forEach(({ request, holder }) => holder.record(request)),
    );
    const heapBytesPerClaim = (heapBytes() - beforeBytes) / claims;
    const answer = { status: 201, headers: [["content-type", "application/json"] as const], body: new Uint8Array(0) };
    const resolveMicros = microseconds(
        claims,
        () =>
            requests.forEach(({ request: { view: _, ...rest }, holder }) =>
                holder.resolve({ ...rest, state: "complete", answer })
            ),
    );
    const storedClaims = [...simulation.instances.values()].reduce(
        (sum, { claims: instanceClaims }) => sum + instanceClaims!.holder.table.size,
        0,
    );
    simulation.network.sentByMethod.clear();
    for (let index = 0; index < 100; index++) {
        void simulation.attempt(`i${index % seats}`, simulation.key(), true);
    }
    await simulation.clock.advance(1_000);
    const { request } = requests[0]!;
    return {
        storedClaims,
        heapBytesPerClaim,
        recordMicros,
        resolveMicros,
        messages: new Map(simulation.network.sentByMethod),
        request,
    };
};
