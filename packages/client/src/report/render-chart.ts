import {BarChart, LineChart} from 'echarts/charts';
import {GridComponent, MarkLineComponent, TitleComponent} from 'echarts/components';
import {type EChartsCoreOption, init, use} from 'echarts/core';
import {SVGRenderer} from 'echarts/renderers';

use([BarChart, GridComponent, LineChart, MarkLineComponent, SVGRenderer, TitleComponent]);

const width = 720;
const height = 260;

/**
 * Renders a chart as self-contained SVG text.
 *
 * @example
 * const svg = renderChart({series: [{type: 'line', data: [1, 2]}]});
 */
export const renderChart = (option: EChartsCoreOption): string => {
	const chart = init(undefined, undefined, {renderer: 'svg', ssr: true, width, height});
	chart.setOption({animation: false, ...option});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
};
