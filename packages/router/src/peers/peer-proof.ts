/**
 * Mutual authentication of routers by HMAC proofs of the fleet's secret, which
 * itself is never sent. A client's proof names both routers and the time, so that
 * it cannot be replayed to another router, or after the allowed clock difference.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import { z } from 'zod';

import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { parseBoundedJsonText } from '@sesamegrade/core/types/bounded-json';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { identitySchema, identityMessage } from './peer-message';
import type { IdentityMessage } from './peer-message';

/** Maximum clock difference between two routers at which a proof is accepted. */
const MAX_CLOCK_DIFFERENCE_MS = 300_000;
const NONCE_BYTES = 12;

const claimSchema = z.object({
  identity: identitySchema,
  to: z.string().max(200),
  at: z.number(),
  nonce: z.string().min(8).max(64),
});

interface Claim {
  readonly identity: IdentityMessage;
  readonly to: string;
  readonly at: number;
  readonly nonce: string;
}

/** Connection parameters of tRPC, which must be strings. */
export interface ProofParameters extends Record<string, string> {
  readonly claim: string;
  readonly proof: string;
}

/** A connecting router with a valid proof. */
export interface AuthenticatedPeer {
  readonly identity: RouterIdentity;
  readonly nonce: string;
}

const parametersSchema = z.object({
  claim: z.string().max(2000),
  proof: z.string().max(100),
});

export function newNonce(): string {
  return randomBytes(NONCE_BYTES).toString('base64url');
}

export interface PeerProofOptions {
  readonly self: RouterIdentity;
  readonly secret: string;
  /** Unix milliseconds. */
  readonly wallTime: () => number;
}

export class PeerProof {
  readonly #self: RouterIdentity;
  readonly #secret: string;
  readonly #wallTime: () => number;

  constructor(options: PeerProofOptions) {
    this.#self = options.self;
    this.#secret = options.secret;
    this.#wallTime = options.wallTime;
  }

  /** Returns the connection parameters, with this router's proof, for a connection to another router. */
  connectionParameters(to: RouterId, nonce: string): ProofParameters {
    const identity = identityMessage(this.#self);
    const claim: Claim = { identity, to, at: this.#wallTime(), nonce };
    const text = JSON.stringify(claim);
    return { claim: text, proof: this.#sign('client', text) };
  }

  /** Returns the identity of a connecting router; undefined when its proof is invalid or too old. */
  authenticateClient(parameters: unknown): AuthenticatedPeer | undefined {
    const parsed = parametersSchema.safeParse(parameters);
    if (!parsed.success) {
      return undefined;
    }
    const { claim: text, proof } = parsed.data;
    if (!this.#isEqual(proof, this.#sign('client', text))) {
      return undefined;
    }
    const claim = claimSchema.safeParse(parseJson(text));
    if (!claim.success || !this.#isSelf(claim.data.to)) {
      return undefined;
    }
    const difference = Math.abs(this.#wallTime() - claim.data.at);
    return difference <= MAX_CLOCK_DIFFERENCE_MS ? claim.data : undefined;
  }

  /** Returns this router's proof for a client that sent the nonce. */
  serverProof(nonce: string): string {
    return this.#sign('server', `${this.#self.id} ${nonce}`);
  }

  /** Whether a server's proof shows that it is the given router. */
  isServerProofValid(server: RouterId, nonce: string, proof: string): boolean {
    return this.#isEqual(proof, this.#sign('server', `${server} ${nonce}`));
  }

  #isSelf(name: string): boolean {
    return name === this.#self.id || name === addressName(this.#self.address);
  }

  #sign(role: 'client' | 'server', text: string): string {
    const hmac = createHmac('sha256', this.#secret);
    return hmac.update(`${role}\n${text}`).digest('base64url');
  }

  /** Compares in constant time. */
  #isEqual(given: string, expected: string): boolean {
    const left = Buffer.from(given);
    const right = Buffer.from(expected);
    return left.length === right.length && timingSafeEqual(left, right);
  }
}

/** Temporary id of a router of which only the address is known. */
export function addressName({ host, port }: Address): RouterId {
  return routerId(`${host}:${port}`);
}

function parseJson(text: string): unknown {
  const parsed = parseBoundedJsonText(text);
  return parsed.ok ? parsed.value : undefined;
}
