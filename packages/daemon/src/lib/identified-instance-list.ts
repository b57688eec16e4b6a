/** The platform's instance list, completed with the id of each instance's process. */
import { instanceName } from "@sniperoad/core";
import type {
    InstanceId,
    InstanceInfo,
    InstanceListing,
    InstanceListPort,
    PeerMethod,
    PeerPort,
    ZoneId,
} from "@sniperoad/core";
import * as z from "zod";

const nonEmptyText = z.string().min(1).max(200);
const identitySchema = z.strictObject({
    id: nonEmptyText.transform(value => value as InstanceId),
    zone: nonEmptyText.transform(value => value as ZoneId),
    address: nonEmptyText,
    peerAddress: nonEmptyText,
    state: z.enum(["live", "leaving"]),
});

const identifyMethod: PeerMethod<Record<string, never>, InstanceInfo> = {
    name: "instance.identify",
    request: z.strictObject({}),
    reply: identitySchema,
};

const identifyTimeoutMs = 300;
/** Reads of the list after which the id of a process is requested again, to detect a restart under the same name. */
const readsBeforeRecheck = 5;

interface Identity {
    readonly instance: InstanceId;
    readonly peerAddress: string;
    readsLeft: number;
}

/**
 * The platform identifies instances by name; a restarted process keeps its name but is a new instance. This list asks
 * each address for the id of its process. An instance that does not answer keeps its last known id, or its plain name
 * if there is none, so that it still counts as listed.
 *
 * @example
 * const list = new IdentifiedInstanceList({ info, source: platform, peers });
 */
export class IdentifiedInstanceList implements InstanceListPort {
    readonly #info: InstanceInfo;
    readonly #source: InstanceListPort;
    readonly #peers: PeerPort;
    readonly #known = new Map<InstanceId, Identity>();

    constructor(
        options: { readonly info: InstanceInfo; readonly source: InstanceListPort; readonly peers: PeerPort; },
    ) {
        this.#info = options.info;
        this.#source = options.source;
        this.#peers = options.peers;
        options.peers.handle(identifyMethod, () => this.#info);
    }

    async list(): Promise<InstanceListing> {
        const listing = await this.#source.list();
        const instances = await Promise.all(listing.instances.map(info => this.#identify(info)));
        return { instances, upstreams: listing.upstreams };
    }

    async #identify(info: InstanceInfo): Promise<InstanceInfo> {
        if (info.id === instanceName(this.#info.id)) {
            return { ...info, id: this.#info.id };
        }
        const known = this.#known.get(info.id);
        if (known !== undefined && known.peerAddress === info.peerAddress && known.readsLeft-- > 0) {
            return { ...info, id: known.instance };
        }
        try {
            // The plain name serves only to address the process, which answers with its id.
            this.#peers.setAddress(info.id, info.peerAddress);
            const { id: instance } = await this.#peers.call(info.id, identifyMethod, {}, identifyTimeoutMs);
            this.#known.set(info.id, { instance, peerAddress: info.peerAddress, readsLeft: readsBeforeRecheck });
            return { ...info, id: instance };
        }
        catch {
            return { ...info, id: known?.instance ?? info.id };
        }
    }
}

/**
 * Identifies the instances at the given peer addresses; those that do not answer are omitted.
 *
 * @example
 * const seeds = await identifySeeds(peers, ["10.0.0.1:7000"]);
 */
export const identifySeeds = async (
    peers: PeerPort,
    addresses: readonly string[],
): Promise<readonly InstanceInfo[]> => {
    const replies = await Promise.all(addresses.map(address => {
        // The address substitutes for the id until the process has answered with it.
        const placeholder = address as InstanceId;
        peers.setAddress(placeholder, address);
        return peers.call(placeholder, identifyMethod, {}, identifyTimeoutMs).catch(() => undefined);
    }));
    return replies.flatMap(info => info ?? []);
};
