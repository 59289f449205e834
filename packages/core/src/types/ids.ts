/** Branded identifier types, with one constructor for each. */
import type { Branded } from './brand';

/** One virtual machine of the platform. */
export type VmId = Branded<string, 'VmId'>;
/** One router process; a restarted process has a new incarnation, not a new id. */
export type RouterId = Branded<string, 'RouterId'>;
/** One back end process: a model engine, or an instance of a plain service. */
export type EndpointId = Branded<string, 'EndpointId'>;
/** One availability zone. */
export type ZoneId = Branded<string, 'ZoneId'>;
/** One customer organisation that sends requests. */
export type TeamId = Branded<string, 'TeamId'>;
/** One model served by engines. */
export type ModelId = Branded<string, 'ModelId'>;
/** One plain service. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** One conversation, whose context an engine may have cached. */
export type ChatId = Branded<string, 'ChatId'>;
/** One request as the caller sees it; the same over retries. */
export type RequestId = Branded<string, 'RequestId'>;
/** One attempt to run a request on one endpoint. */
export type AttemptId = Branded<string, 'AttemptId'>;
/** The caller's key of a call that must run at most once. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** Hash of a request's team, target and canonical body. */
export type Fingerprint = Branded<string, 'Fingerprint'>;
/** One lease row. */
export type LeaseId = Branded<string, 'LeaseId'>;
/** Monotonic number that orders the holders of one lease. */
export type FencingNumber = Branded<number, 'FencingNumber'>;
/** One route of the configuration. */
export type RouteId = Branded<string, 'RouteId'>;
/** One prompt part, which several requests may share. */
export type PromptPartId = Branded<string, 'PromptPartId'>;
/** Version of the accepted configuration; only ever rises. */
export type ConfigurationVersion = Branded<number, 'ConfigurationVersion'>;
/** One proposed configuration change, the same over resends. */
export type ChangeId = Branded<string, 'ChangeId'>;
/** Version of the software of an endpoint. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** Hash of the request that began a stream. */
export type StreamKey = Branded<string, 'StreamKey'>;
/** Number of a process start; a later start has a higher one. */
export type Incarnation = Branded<number, 'Incarnation'>;

export const vmId = (value: string) => value as VmId;
export const routerId = (value: string) => value as RouterId;
export const endpointId = (value: string) => value as EndpointId;
export const zoneId = (value: string) => value as ZoneId;
export const teamId = (value: string) => value as TeamId;
export const modelId = (value: string) => value as ModelId;
export const serviceId = (value: string) => value as ServiceId;
export const chatId = (value: string) => value as ChatId;
export const requestId = (value: string) => value as RequestId;
export const attemptId = (value: string) => value as AttemptId;
export const idempotencyKey = (value: string) => value as IdempotencyKey;
export const fingerprint = (value: string) => value as Fingerprint;
export const leaseId = (value: string) => value as LeaseId;
export const fencingNumber = (value: number) => value as FencingNumber;
export const routeId = (value: string) => value as RouteId;
export const promptPartId = (value: string) => value as PromptPartId;
export const configurationVersion = (value: number) =>
  value as ConfigurationVersion;
export const changeId = (value: string) => value as ChangeId;
export const softwareVersion = (value: string) => value as SoftwareVersion;
export const streamKey = (value: string) => value as StreamKey;
export const incarnation = (value: number) => value as Incarnation;
