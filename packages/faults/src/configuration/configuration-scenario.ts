/** Scenario of the fault matrix: configuration changes. */
import type { HistoryReport } from '../matrix/scenario';
import { Scenario } from '../matrix/scenario';
import type { Fault, Injection } from '../simulation/fault';
import { isExchangeFault } from '../simulation/fault';
import type { ConfigurationStep } from './configuration-router';
import { CONFIGURATION_STEPS } from './configuration-router';
import { ConfigurationSimulation } from './configuration-simulation';

const ENDPOINT_FAULTS: readonly Fault[] = [
  'engine-crash',
  'poison-request',
  'flapping-endpoint',
];

export class ConfigurationScenario extends Scenario<ConfigurationStep> {
  override readonly name = 'configuration change';
  override readonly steps = CONFIGURATION_STEPS;

  override exemption(
    fault: Fault,
    step: ConfigurationStep,
  ): string | undefined {
    if (ENDPOINT_FAULTS.includes(fault)) {
      return 'a configuration change involves no engine and no service';
    }
    return isExchangeFault(fault) && step === 'apply'
      ? 'a version is applied within the router process, without an exchange'
      : undefined;
  }

  override prerequisites(
    step: ConfigurationStep,
  ): readonly Injection<ConfigurationStep>[] {
    return step === 'read-content'
      ? [
          { fault: 'split-views', step: 'tell-peer', occurrence: 1 },
          { fault: 'router-kill', step: 'apply', occurrence: 4 },
        ]
      : [];
  }

  override run(
    seed: number,
    plan: readonly Injection<ConfigurationStep>[],
  ): HistoryReport {
    return new ConfigurationSimulation({ seed, plan }).run();
  }
}
