export {
	runScenarios, type ScenarioCounts, type ScenarioFolders, type ScenarioSelection,
} from './run-scenarios.js';
